/**
 * Collects the news of load reports that an aggregating node passes on.
 *
 * News repeats for several reports and comes from several nodes, so what was passed on lately is left out. Crashes
 * are passed on suspect by suspect: each node saw other requests break, and what two of them have in common is news
 * once. Each item is passed on with its age increased by the time that it waited.
 *
 * What is passed on is bounded. Evidence of crashes, of which callers can cause any amount, waits when there is more;
 * all other news goes first. A request is blamed for several crashes only, so nodes that do not aggregate get its
 * crashes from the second one on. They get each crash with a prompt part, since any of them may know that it was
 * answered.
 */
import { createBoundedMap } from "../common/bounded-map.js";
import { kindOfSuspect } from "../quarantine/suspects.js";

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

/** Evidence of crashes that a receiver gets a second, characters: within what a node may use for control. */
const EVIDENCE_CHARACTERS_PER_SECOND = 2000;

/** The same for receivers that aggregate, of which there are few. */
const AGGREGATOR_EVIDENCE_CHARACTERS_PER_SECOND = 5000;

/** Time whose evidence a receiver gets at once after a pause, milliseconds. */
const EVIDENCE_BURST_MILLISECONDS = 1000;

/** Characters of a datagram beside its items, and the smallest amount of evidence that is worth one. */
const DATAGRAM_CHARACTERS = 100;
const MINIMUM_EVIDENCE_CHARACTERS = 300;

/** Characters of a crash beside its suspects, which are sent once for all of them. */
const JOINED_CRASH_CHARACTERS = 20;

/** Items of evidence that wait at most, and time for which they do, milliseconds: as long as a crash counts. */
const MAXIMUM_WAITING_EVIDENCE = 1024;
const EVIDENCE_WAIT_MILLISECONDS = 60_000;

const CRASH_LIST = "quarantine.crashes";

/** Answers are evidence, too, but there are no more of them than of crashes that were passed on. */
const ANSWER_LIST = "quarantine.answers";

/** Lists that wait when there is more than each receiver may get. */
const EVIDENCE_LISTS: readonly string[] = [CRASH_LIST, "quarantine.quarantined"];

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
    /** Size, characters. */
    readonly length: number;
}

export interface NewsRelay {
    /** Adds the news of a report. Returns whether it tells something that was not passed on lately. */
    add(news: object, now: number): boolean;
    /** Removes and returns what is to be passed on now, in the form of the news of reports. */
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

type WireCrash = readonly [
    process: string,
    age: number,
    refuted: 0 | 1,
    suspects: readonly (readonly [suspect: string, position: number])[],
];

/** What can be news by itself: a crash with each suspect, or without any when nothing else is known of it. */
function partsOf(name: string, value: unknown): readonly unknown[] {
    if (name !== CRASH_LIST) {
        return [value];
    }
    const [process, age, refuted, suspects] = value as WireCrash;
    return suspects.length === 0 ? [value] : suspects.map(suspect => [process, age, refuted, [suspect]]);
}

/** Joins the parts of crashes. */
function joinCrashes(crashes: readonly WireCrash[]): readonly WireCrash[] {
    const joined = new Map<string, WireCrash>();
    for (const [process, age, refuted, suspects] of crashes) {
        const key = `${refuted} ${process}`;
        const known = joined.get(key);
        joined.set(
            key,
            known === undefined
                ? [process, age, refuted, suspects]
                : [process, Math.max(age, known[1]), refuted, [...known[3], ...suspects]],
        );
    }
    return [...joined.values()];
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
    const { quarantine } = news as { quarantine?: { readonly crashes: readonly WireCrash[] } };
    return quarantine === undefined
        ? news
        : { ...news, quarantine: { ...quarantine, crashes: joinCrashes(quarantine.crashes) } };
}

const isEvidence = ({ path }: NewsItem): boolean => EVIDENCE_LISTS.includes(path.join("."));

function datagramsOf(items: readonly NewsItem[]): readonly (readonly NewsItem[])[] {
    const groups: NewsItem[][] = [];
    let size = Infinity;
    for (const item of items) {
        if (size + item.length > MAXIMUM_DATAGRAM_CHARACTERS) {
            groups.push([]);
            size = 0;
        }
        groups.at(-1)!.push(item);
        size += item.length;
    }
    return groups;
}

/** @param receivers `members` do not aggregate reports; `aggregators` pass on what they get to their members. */
export function createNewsRelay(receivers: "members" | "aggregators" = "members"): NewsRelay {
    const charactersPerSecond =
        receivers === "members" ? EVIDENCE_CHARACTERS_PER_SECOND : AGGREGATOR_EVIDENCE_CHARACTERS_PER_SECOND;
    const maximumAllowance = (charactersPerSecond * EVIDENCE_BURST_MILLISECONDS) / 1000;
    const passedOn = createBoundedMap<{
        readonly at: number;
        readonly isRepeated: boolean;
        readonly text: string;
    }>(MAXIMUM_KNOWN_ITEMS);
    /** Items that are to be passed on, by what they are about. */
    const pending = new Map<string, NewsItem>();
    /** Suspects whose crashes were passed on. */
    const passedSuspects = createBoundedMap<true>(MAXIMUM_KNOWN_ITEMS);
    /** Processes that crashed with a suspect, the first two. */
    const crashedWith = createBoundedMap<ReadonlySet<string>>(MAXIMUM_KNOWN_ITEMS);
    let allowance = maximumAllowance;
    let allowanceAt = 0;

    const recordCrash = ([process, , , suspects]: WireCrash): void => {
        for (const [suspect] of suspects) {
            const known = crashedWith.get(suspect) ?? new Set<string>();
            crashedWith.set(suspect, known.size > 1 ? known : new Set([...known, process]));
        }
    };

    /** Returns whether the part is to be passed on. */
    const addPart = (path: readonly string[], value: unknown, now: number): boolean => {
        const name = path.join(".");
        const text = JSON.stringify(withAge(path, value, () => 0));
        const fields = IDENTITY_FIELDS[name];
        const isChanging = fields !== undefined && Array.isArray(value);
        const identity = isChanging ? JSON.stringify(value.slice(0, fields)) : text;
        const key = `${name} ${identity}`;
        const known = passedOn.get(key);
        const isChanged = known !== undefined && known.text !== text;
        const elapsed = now - (known?.at ?? -Infinity);
        const pause = known?.isRepeated === true ? REPEAT_MILLISECONDS : FIRST_REPEAT_MILLISECONDS;
        const isWaiting = pending.has(key) && !isChanged;
        if (isWaiting || (!isChanged && elapsed < pause)) {
            return false;
        }
        const isRepeated = !isChanged && elapsed < FORGET_MILLISECONDS;
        passedOn.set(key, { at: now, isRepeated, text });
        pending.set(key, { path, value, at: now, length: text.length });
        if (name === CRASH_LIST) {
            recordCrash(value as WireCrash);
        }
        return true;
    };

    /** Whether several crashes with the suspect of an item are known, or the item is no crash. */
    const isUrgent = ({ path, value }: NewsItem): boolean => {
        const suspects = path.join(".") === CRASH_LIST ? (value as WireCrash)[3] : [];
        return (
            suspects.length === 0 || suspects.some(([suspect]) => (crashedWith.get(suspect)?.size ?? 0) > 1)
        );
    };

    const isForMembers = (item: NewsItem): boolean =>
        isUrgent(item) ||
        (item.value as WireCrash)[3].some(([suspect]) => kindOfSuspect(suspect) === "prompt part");

    const isNewSuspect = ({ path, value }: NewsItem): boolean =>
        path.join(".") === CRASH_LIST &&
        (value as WireCrash)[3].some(([suspect]) => passedSuspects.get(suspect) === undefined);

    /**
     * Removes and returns the evidence that each receiver may get now: what is urgent, first of it the suspects that
     * the receivers do not know and may clear, then the rest. Among equals, the newest goes first.
     */
    const takeEvidence = (now: number): readonly NewsItem[] => {
        const elapsed = now - allowanceAt;
        allowanceAt = now;
        allowance = Math.min(maximumAllowance, allowance + (charactersPerSecond * elapsed) / 1000);
        const newest = [...pending].filter(([, item]) => isEvidence(item)).reverse();
        const urgent = newest.filter(([, item]) => isUrgent(item));
        const first = urgent.filter(([, item]) => isNewSuspect(item));
        const ordered = [...new Set([...first, ...urgent, ...newest])];
        const taken: NewsItem[] = [];
        const processes = new Set<unknown>();
        const mayTake = allowance >= MINIMUM_EVIDENCE_CHARACTERS;
        for (const [key, item] of ordered) {
            if (!mayTake || allowance <= 0) {
                break;
            }
            if (receivers === "members" && !isForMembers(item)) {
                continue;
            }
            const [process] = item.value as readonly unknown[];
            const isJoined = processes.has(process);
            processes.add(process);
            allowance -= item.length - (isJoined ? JOINED_CRASH_CHARACTERS : 0);
            allowance -= taken.length === 0 ? DATAGRAM_CHARACTERS : 0;
            pending.delete(key);
            taken.push(item);
            if (isNewSuspect(item)) {
                (item.value as WireCrash)[3].forEach(([suspect]) => passedSuspects.set(suspect, true));
            }
        }
        const waiting = ordered.filter(([key]) => pending.has(key));
        waiting
            .filter(
                ([, { at }], index) =>
                    index >= MAXIMUM_WAITING_EVIDENCE || now - at > EVIDENCE_WAIT_MILLISECONDS,
            )
            .forEach(([key]) => pending.delete(key));
        return taken;
    };

    const takeOthers = (): readonly NewsItem[] => {
        const taken = [...pending].filter(([, item]) => !isEvidence(item));
        for (const [key, { path, length }] of taken) {
            pending.delete(key);
            allowance -= path.join(".") === ANSWER_LIST ? length : 0;
        }
        return taken.map(([, item]) => item);
    };

    return {
        add: (news, now) => {
            const added = listsOf(news, []).flatMap(([path, values]) =>
                values
                    .flatMap(value => partsOf(path.join("."), value))
                    .filter(part => addPart(path, part, now)),
            );
            return added.length > 0;
        },
        take: now => {
            const items = [...takeOthers(), ...takeEvidence(now)];
            return datagramsOf(items).map(group => assemble(group, now));
        },
    };
}
