import * as consensus from '@ebonyweir/consensus'
import type * as engine from './engine.js'
import * as worlds from './world.js'

type WorldInvariant = engine.Invariant<worlds.World>

/** One leader per term, no committed entry changed, no vote from a lost disk, no broken assertion. */
export const noProblem: WorldInvariant = {
  name: 'one leader per term, committed entries unchanged, no vote from a lost disk',
  check: (world) => world.ghost.problem,
}

const missingEntry = (world: worlds.World, log: consensus.logs.Log): string | undefined => {
  for (const [index, text] of Object.entries(world.ghost.committed)) {
    if (Number(index) <= log.baseIndex) continue
    const entry = consensus.logs.entryAt(log, Number(index))
    const found = entry === undefined ? 'nothing' : worlds.entryText(entry)
    if (found !== text) return `committed entry ${index} is ${text}, but there is ${found}`
  }
  return undefined
}

/** The newest leader has every committed entry. */
export const leaderComplete: WorldInvariant = {
  name: 'committed entries are never lost',
  check: (world) => {
    const newest = Math.max(...Object.keys(world.ghost.leaders).map(Number), 0)
    for (const { alive, id, state } of Object.values(world.nodes)) {
      if (!alive || state.role !== 'leader' || state.hardState.term !== newest) continue
      const problem = missingEntry(world, state.log)
      if (problem !== undefined) return `leader ${id} of term ${newest}: ${problem}`
    }
    return undefined
  },
}

/** A replica that may serve reads has every command that was acknowledged to a caller. */
export const noStaleRead: WorldInvariant = {
  name: 'reads under the leader lease are never stale',
  check: (world) => {
    for (const { alive, id, state, nowMs } of Object.values(world.nodes)) {
      if (!alive || !consensus.leaseValid(state, nowMs)) continue
      const { acknowledgedCommand } = world.ghost
      if (state.commitIndex < acknowledgedCommand) {
        return `${id} serves reads at ${state.commitIndex}, but ${acknowledgedCommand} was acknowledged`
      }
    }
    return undefined
  },
}

/**
 * A leader without contact with a quorum steps down.
 *
 * @param graceMs time between two ticks
 */
export const stepsDown = (graceMs: number): WorldInvariant => ({
  name: 'a leader without a quorum steps down',
  check: (world) => {
    for (const { alive, id, state, nowMs } of Object.values(world.nodes)) {
      if (!alive || state.role !== 'leader') continue
      const voters = consensus.membership.voters(consensus.membership.current(state))
      const times = voters.map((voter) =>
        voter.id === id ? nowMs : (state.progress[voter.id]?.lastContactMs ?? 0),
      )
      times.sort((a, b) => b - a)
      const silentMs = nowMs - (times[consensus.membership.quorumSize(times.length) - 1] ?? 0)
      if (silentMs > state.config.electionTimeoutMinMs + graceMs) {
        return `${id} leads without a quorum for ${Math.round(silentMs)} ms`
      }
    }
    return undefined
  },
})

/** A replica that reaches nobody does not raise its term. */
export const keepsTerm = (id: string, term: number): WorldInvariant => ({
  name: 'a replica that is cut off does not raise its term',
  check: (world) => {
    const found = world.nodes[id]?.state.hardState.term ?? term
    return found > term ? `${id} is at term ${found}, the group at term ${term}` : undefined
  },
})

const diskMembership = (disk: worlds.Disk): consensus.Membership => {
  const inLog = consensus.membership.inEntries(disk.entries).at(-1)
  return inLog?.membership ?? disk.snapshot?.membership ?? { members: [] }
}

const lastOnDisk = (disk: worlds.Disk): number =>
  disk.entries.at(-1)?.index ?? disk.snapshot?.lastIndex ?? 0

const holdsCommitted = (world: worlds.World, disk: worlds.Disk): boolean =>
  Object.entries(world.ghost.committed).every(([index, text]) => {
    if (Number(index) <= (disk.snapshot?.lastIndex ?? 0)) return true
    const entry = disk.entries.find((candidate) => candidate.index === Number(index))
    return entry !== undefined && worlds.entryText(entry) === text
  })

const survives = (world: worlds.World, voters: readonly string[], lost: string): boolean => {
  const willing = voters
    .filter((id) => id !== lost)
    .map((id) => world.nodes[id]?.disk ?? consensus.emptyDisk)
    .filter((disk, position) => {
      const id = voters.filter((other) => other !== lost)[position] ?? ''
      return consensus.membership.isVoter(diskMembership(disk), id)
    })
  const enough = willing.length >= consensus.membership.quorumSize(voters.length)
  return enough && willing.some((disk) => holdsCommitted(world, disk))
}

/** "Repaired" is said only when the loss of any one voter leaves a quorum with every committed entry. */
export const repairedIsTrue: WorldInvariant = {
  name: 'repaired means that any one loss is survivable',
  check: (world) => {
    for (const { alive, id, state, nowMs } of Object.values(world.nodes)) {
      if (!alive || !consensus.repairStatus(state, nowMs).repaired) continue
      const members = consensus.membership.voters(consensus.membership.current(state))
      const voters = members.map((member) => member.id)
      const fatal = voters.find((lost) => !survives(world, voters, lost))
      if (fatal !== undefined) return `${id} says repaired, but the loss of ${fatal} ends the group`
    }
    return undefined
  },
}

/** "Repaired" is not said while a voter lacks what it acknowledged, once it was heard again. */
export const repairedNoticesRollBack: WorldInvariant = {
  name: 'repaired is not said while a disk is rolled back',
  check: (world) => {
    for (const { alive, id, state, nowMs } of Object.values(world.nodes)) {
      if (!alive || !consensus.repairStatus(state, nowMs).repaired) continue
      for (const other of Object.values(world.nodes)) {
        const heardMs = state.progress[other.id]?.leaseSentMs ?? 0
        const short = lastOnDisk(other.disk) < other.acknowledged
        if (short && heardMs > other.state.startedMs) {
          return `${id} says repaired, but ${other.id} holds ${lastOnDisk(other.disk)} of ${other.acknowledged} entries`
        }
      }
    }
    return undefined
  },
}
