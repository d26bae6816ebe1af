/**
 * Determines the node that owns an upstream, by rendezvous hashing among the active members of the upstream's
 * data centre. If the data centre has no active member, all members of the region are candidates; if the
 * region has none either, all members are.
 */
import { rendezvousOwner } from "../common/hash.js";
import type { Member, MembershipView } from "../membership/membership.js";

/** Location of an upstream. */
export interface Location {
    readonly dataCentre: string;
    readonly region: string;
}

/** Active members from `since` until the next view. */
interface View {
    readonly since: number;
    readonly members: readonly Member[];
    readonly idsByScope: ReadonlyMap<string, readonly string[]>;
}

export interface Ownership {
    /** Reads the current members. Call this before the other functions in each step. */
    refresh(now: number): void;
    /** Increases with each change of the active members. */
    version(): number;
    owner(upstream: string, location: Location): string | undefined;
    /** Start of this node's uninterrupted ownership; `undefined` if it does not own the upstream. */
    ownedSince(upstream: string, location: Location): number | undefined;
}

function sameMembers(a: readonly Member[], b: readonly Member[]): boolean {
    return a.length === b.length && a.every((member, index) => member.id === b[index]!.id);
}

function createView(since: number, members: readonly Member[]): View {
    const idsByScope = new Map<string, string[]>();
    for (const member of members) {
        for (const scope of [`dataCentre/${member.dataCentre}`, `region/${member.region}`, "all"]) {
            const ids = idsByScope.get(scope);
            if (ids === undefined) {
                idsByScope.set(scope, [member.id]);
            }
            else {
                ids.push(member.id);
            }
        }
    }
    return { since, members, idsByScope };
}

function ownerIn(view: View, upstream: string, location: Location): string | undefined {
    const candidates =
        view.idsByScope.get(`dataCentre/${location.dataCentre}`) ??
        view.idsByScope.get(`region/${location.region}`) ??
        view.idsByScope.get("all") ??
        [];
    return rendezvousOwner(upstream, candidates);
}

/**
 * @param retentionMilliseconds A view is discarded when it ended longer ago than this.
 */
export function createOwnership(
    membership: MembershipView,
    retentionMilliseconds: number,
    now: number,
): Ownership {
    let lastActive = membership.active();
    let views: View[] = [createView(now, sorted(lastActive))];
    let version = 0;
    let owners = new Map<string, string | undefined>();

    function sorted(members: readonly Member[]): readonly Member[] {
        return [...members].sort((a, b) => (a.id < b.id ? -1 : 1));
    }

    const owner = (upstream: string, location: Location): string | undefined => {
        const key = `${location.dataCentre}/${upstream}`;
        if (!owners.has(key)) {
            owners.set(key, ownerIn(views[0]!, upstream, location));
        }
        return owners.get(key);
    };

    return {
        refresh: at => {
            const active = membership.active();
            if (sameMembers(active, lastActive)) {
                return;
            }
            lastActive = active;
            const members = sorted(active);
            if (sameMembers(members, views[0]!.members)) {
                return;
            }
            version += 1;
            owners = new Map();
            // A view ends when the next one begins.
            views = [createView(at, members), ...views].filter(
                (_view, index, all) => index === 0 || at - all[index - 1]!.since <= retentionMilliseconds,
            );
        },
        version: () => version,
        owner,
        ownedSince: (upstream, location) => {
            if (owner(upstream, location) !== membership.self.id) {
                return undefined;
            }
            let since = views[0]!.since;
            for (const view of views.slice(1)) {
                if (ownerIn(view, upstream, location) !== membership.self.id) {
                    break;
                }
                since = view.since;
            }
            return since;
        },
    };
}
