/**
 * Collects the news of load reports that an aggregating node passes on.
 *
 * News repeats for several reports, and every node that learns it reports it again, so what was passed on lately
 * is left out. Each item is passed on as it is, with its age increased by the time that it waited.
 */
import { createBoundedMap } from "../common/bounded-map.js";

/** Time after which an item is passed on once more, in case datagrams were lost, milliseconds. */
const FIRST_REPEAT_MILLISECONDS = 200;

/** Shortest time between further repeats, milliseconds. Statements that hold are reported once a second. */
const REPEAT_MILLISECONDS = 900;

/** Time after which an item is news again, milliseconds. */
const FORGET_MILLISECONDS = 3000;

/** Items whose last time is kept. */
const MAXIMUM_KNOWN_ITEMS = 4096;

/** Size of the items in one datagram, characters. */
const MAXIMUM_DATAGRAM_CHARACTERS = 6000;

/** Position of the age within the items of a list; other lists have no ages. */
const AGE_POSITIONS: Readonly<Record<string, number>> = {
    "quarantine.crashes": 1,
    "quarantine.answers": 1,
    "quarantine.quarantined": 1,
    limits: 2,
    brittle: 1,
};

/**
 * Number of leading fields that name what a value is about, in lists whose values change. A changed value is passed
 * on at once, also one that was passed on before the value in between.
 */
const IDENTITY_FIELDS: Readonly<Record<string, number>> = { waiting: 4 };

interface NewsItem {
    /** Names of the list, from the outermost. */
    readonly path: readonly string[];
    readonly value: unknown;
    readonly at: number;
}

export interface NewsRelay {
    /** Adds the news of a report. Returns whether something is to be passed on. */
    add(news: object, now: number): boolean;
    /** Removes and returns what is to be passed on, in the form of the news of reports. */
    take(now: number): readonly object[];
}

/** Lists within a piece of news. Values of other types concern the sender only. */
function listsOf(
    news: object,
    path: readonly string[],
): readonly (readonly [readonly string[], unknown[]])[] {
    return Object.entries(news).flatMap(([name, value]) => {
        if (Array.isArray(value)) {
            return [[[...path, name], value as unknown[]] as const];
        }
        return typeof value === "object" && value !== null ? listsOf(value as object, [...path, name]) : [];
    });
}

function withAge(path: readonly string[], value: unknown, change: (age: number) => number): unknown {
    const position = AGE_POSITIONS[path.join(".")];
    if (position === undefined || !Array.isArray(value)) {
        return value;
    }
    return value.map((part: unknown, index) =>
        index === position && typeof part === "number" ? change(part) : part,
    );
}

/** Puts items into the form that reports have; lists of quarantine evidence must all be present. */
function assemble(items: readonly NewsItem[], now: number): object {
    const news: Record<string, unknown> = {};
    for (const { path, value, at } of items) {
        const aged = withAge(path, value, age => age + Math.round(now - at));
        const [first, second] = path;
        if (second === undefined) {
            news[first!] = [...((news[first!] as unknown[] | undefined) ?? []), aged];
        }
        else {
            const empty = first === "quarantine" ? { crashes: [], answers: [], quarantined: [] } : {};
            const group = (news[first!] as Record<string, unknown[]> | undefined) ?? empty;
            news[first!] = {
                ...group,
                [second]: [...((group as Record<string, unknown[]>)[second] ?? []), aged],
            };
        }
    }
    return news;
}

export function createNewsRelay(): NewsRelay {
    const passedOn = createBoundedMap<{
        readonly at: number;
        readonly isRepeated: boolean;
        readonly text: string;
    }>(MAXIMUM_KNOWN_ITEMS);
    let pending: NewsItem[] = [];

    return {
        add: (news, now) => {
            for (const [path, values] of listsOf(news, [])) {
                for (const value of values) {
                    const name = path.join(".");
                    const text = JSON.stringify(withAge(path, value, () => 0));
                    const fields = IDENTITY_FIELDS[name];
                    const isChanging = fields !== undefined && Array.isArray(value);
                    const identity = isChanging ? JSON.stringify(value.slice(0, fields)) : text;
                    const key = `${name} ${identity}`;
                    const known = passedOn.get(key);
                    const isChanged = known !== undefined && known.text !== text;
                    const elapsed = now - (known?.at ?? -Infinity);
                    const pause =
                        known?.isRepeated === true ? REPEAT_MILLISECONDS : FIRST_REPEAT_MILLISECONDS;
                    if (isChanged || elapsed >= pause) {
                        const isRepeated = !isChanged && elapsed < FORGET_MILLISECONDS;
                        passedOn.set(key, { at: now, isRepeated, text });
                        pending.push({ path, value, at: now });
                    }
                }
            }
            return pending.length > 0;
        },
        take: now => {
            const groups: NewsItem[][] = [];
            let size = Infinity;
            for (const item of pending) {
                const length = JSON.stringify(item.value).length;
                if (size + length > MAXIMUM_DATAGRAM_CHARACTERS) {
                    groups.push([]);
                    size = 0;
                }
                groups.at(-1)!.push(item);
                size += length;
            }
            pending = [];
            return groups.map(items => assemble(items, now));
        },
    };
}
