/** Endpoint directory of a cell: the announcements of agents, sent to entry instances as deltas. */
import * as protocol from '@ebonyweir/protocol'

/** Removals kept to build deltas. An entry that is further behind gets the full directory. */
const MAX_RETAINED_REMOVALS = 10_000

interface Listing {
  readonly record: protocol.control.AgentRecord
  readonly encoded: Buffer
  readonly version: number
  readonly announcedAtMs: number
}

interface Removal {
  readonly agent: string
  readonly version: number
}

export interface Directory {
  /** Adds or updates an agent. Announcements of an older incarnation are ignored. */
  readonly announce: (record: protocol.control.AgentRecord, nowMs: number) => void
  /** Removes agents without an announcement within `lifetimeMs` and returns their names. */
  readonly expire: (lifetimeMs: number, nowMs: number) => readonly string[]
  /** Changes after `version` of `epoch`; the full directory if that is unknown or too old. */
  readonly deltaSince: (epoch: number, version: number) => protocol.control.DirectoryDelta
  readonly agents: () => readonly protocol.control.AgentRecord[]
}

/** Creates the directory of one leadership term; `epoch` is the term. */
export const createDirectory = (epoch: number): Directory => {
  const listings = new Map<string, Listing>()
  let removals: Removal[] = []
  let oldestKnownVersion = 0
  let version = 1

  const announce = (record: protocol.control.AgentRecord, nowMs: number): void => {
    const encoded = Buffer.from(protocol.control.AgentRecord.encode(record).finish())
    const known = listings.get(record.agent)
    // A delayed announcement must not replace that of a newer incarnation.
    if (known && known.record.incarnation > record.incarnation) return
    const unchanged = known?.encoded.equals(encoded) ?? false
    if (!unchanged) version += 1
    listings.set(record.agent, {
      record,
      encoded,
      version: unchanged && known ? known.version : version,
      announcedAtMs: nowMs,
    })
  }

  const recordRemoval = (agent: string): void => {
    version += 1
    removals.push({ agent, version })
    if (removals.length <= MAX_RETAINED_REMOVALS) return
    removals = removals.slice(MAX_RETAINED_REMOVALS / 2)
    oldestKnownVersion = removals[0]?.version ?? version
  }

  const expire = (lifetimeMs: number, nowMs: number): readonly string[] => {
    const expired = [...listings.entries()].filter(
      ([, listing]) => nowMs - listing.announcedAtMs > lifetimeMs,
    )
    for (const [agent] of expired) {
      listings.delete(agent)
      recordRemoval(agent)
    }
    return expired.map(([agent]) => agent)
  }

  const deltaSince = (
    knownEpoch: number,
    knownVersion: number,
  ): protocol.control.DirectoryDelta => {
    const full = knownEpoch !== epoch || knownVersion < oldestKnownVersion || knownVersion > version
    const newer = (listing: Listing) => full || listing.version > knownVersion
    return {
      epoch,
      version,
      full,
      agents: [...listings.values()].filter(newer).map((listing) => listing.record),
      removed: full
        ? []
        : removals
            .filter((r) => r.version > knownVersion && !listings.has(r.agent))
            .map((r) => r.agent),
    }
  }

  return {
    announce,
    expire,
    deltaSince,
    agents: () => [...listings.values()].map((listing) => listing.record),
  }
}
