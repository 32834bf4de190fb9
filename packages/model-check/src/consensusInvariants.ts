import * as consensus from '@ebonyweir/consensus'
import type * as engine from './engine.js'
import * as states from './consensusState.js'

type ConsensusInvariant = engine.Invariant<states.ConsensusModelState>

/** One leader per term, no committed entry changed, no vote from a lost disk, no failed assertion. */
export const noProblem: ConsensusInvariant = {
  name: 'one leader per term, committed entries unchanged, no vote from a lost disk',
  check: (system) => system.ghost.problem,
}

const missingEntry = (
  system: states.ConsensusModelState,
  log: consensus.logs.Log,
): string | undefined => {
  for (const [index, text] of Object.entries(system.ghost.committed)) {
    if (Number(index) <= log.baseIndex) continue
    const entry = consensus.logs.entryAt(log, Number(index))
    const found = entry === undefined ? 'nothing' : states.entryText(entry)
    if (found !== text) return `committed entry ${index} is ${text}, but the log has ${found}`
  }
  return undefined
}

/** Leader completeness: the leader of the newest term has every committed entry. */
export const leaderComplete: ConsensusInvariant = {
  name: 'committed entries are never lost',
  check: (system) => {
    const newest = Math.max(...Object.keys(system.ghost.leaders).map(Number), 0)
    for (const { alive, id, state } of Object.values(system.nodes)) {
      if (!alive || state.role !== 'leader' || state.hardState.term !== newest) continue
      const problem = missingEntry(system, state.log)
      if (problem !== undefined) return `leader ${id} of term ${newest}: ${problem}`
    }
    return undefined
  },
}

/** A replica with a valid leader lease has every command that was acknowledged to a caller. */
export const noStaleRead: ConsensusInvariant = {
  name: 'reads under the leader lease are never stale',
  check: (system) => {
    for (const { alive, id, state, nowMs } of Object.values(system.nodes)) {
      if (!alive || !consensus.leaseValid(state, nowMs)) continue
      const { acknowledgedCommand } = system.ghost
      if (state.commitIndex < acknowledgedCommand) {
        return `${id} serves reads at index ${state.commitIndex}, but index ${acknowledgedCommand} was acknowledged`
      }
    }
    return undefined
  },
}

/**
 * A leader without contact with a quorum steps down.
 *
 * @param graceMs time between two ticks, by which the step-down may be delayed
 */
export const stepsDown = (graceMs: number): ConsensusInvariant => ({
  name: 'a leader without a quorum steps down',
  check: (system) => {
    for (const { alive, id, state, nowMs } of Object.values(system.nodes)) {
      if (!alive || state.role !== 'leader') continue
      const voters = consensus.membership.voters(consensus.membership.current(state))
      const times = voters.map((voter) =>
        voter.id === id ? nowMs : (state.progress[voter.id]?.lastContactMs ?? 0),
      )
      times.sort((a, b) => b - a)
      const sinceQuorumMs = nowMs - (times[consensus.membership.quorumSize(times.length) - 1] ?? 0)
      if (sinceQuorumMs > state.config.electionTimeoutMinMs + graceMs) {
        return `${id} has led without a quorum for ${Math.round(sinceQuorumMs)} ms`
      }
    }
    return undefined
  },
})

/** A partitioned replica does not raise its term. */
export const keepsTerm = (id: string, term: number): ConsensusInvariant => ({
  name: 'a replica that is cut off does not raise its term',
  check: (system) => {
    const found = system.nodes[id]?.state.hardState.term ?? term
    return found > term ? `${id} is at term ${found}, the group at term ${term}` : undefined
  },
})

const diskMembership = (disk: states.Disk): consensus.Membership => {
  const inLog = consensus.membership.inEntries(disk.entries).at(-1)
  return inLog?.membership ?? disk.snapshot?.membership ?? { members: [] }
}

const lastIndexOnDisk = (disk: states.Disk): number =>
  disk.entries.at(-1)?.index ?? disk.snapshot?.lastIndex ?? 0

const holdsCommitted = (system: states.ConsensusModelState, disk: states.Disk): boolean =>
  Object.entries(system.ghost.committed).every(([index, text]) => {
    if (Number(index) <= (disk.snapshot?.lastIndex ?? 0)) return true
    const entry = disk.entries.find((candidate) => candidate.index === Number(index))
    return entry !== undefined && states.entryText(entry) === text
  })

const survivesLossOf = (
  system: states.ConsensusModelState,
  voters: readonly string[],
  lost: string,
): boolean => {
  const remainingDisks = voters
    .filter((id) => id !== lost)
    .map((id) => system.nodes[id]?.disk ?? consensus.emptyDisk)
    .filter((disk, position) => {
      const id = voters.filter((other) => other !== lost)[position] ?? ''
      return consensus.membership.isVoter(diskMembership(disk), id)
    })
  const enough = remainingDisks.length >= consensus.membership.quorumSize(voters.length)
  return enough && remainingDisks.some((disk) => holdsCommitted(system, disk))
}

/** "Repaired" is reported only if the loss of any one voter leaves a quorum with every committed entry. */
export const repairedIsTrue: ConsensusInvariant = {
  name: 'repaired means that any one loss is survivable',
  check: (system) => {
    for (const { alive, id, state, nowMs } of Object.values(system.nodes)) {
      if (!alive || !consensus.repairStatus(state, nowMs).repaired) continue
      const members = consensus.membership.voters(consensus.membership.current(state))
      const voters = members.map((member) => member.id)
      const criticalVoter = voters.find((lost) => !survivesLossOf(system, voters, lost))
      if (criticalVoter !== undefined)
        return `${id} reports repaired, but the group does not survive the loss of ${criticalVoter}`
    }
    return undefined
  },
}

/** "Repaired" is not reported while a voter lacks entries that it acknowledged, once it has responded again. */
export const repairedNoticesRollBack: ConsensusInvariant = {
  name: 'repaired is not said while a disk is rolled back',
  check: (system) => {
    for (const { alive, id, state, nowMs } of Object.values(system.nodes)) {
      if (!alive || !consensus.repairStatus(state, nowMs).repaired) continue
      for (const other of Object.values(system.nodes)) {
        const acknowledgedMs = state.progress[other.id]?.leaseSentMs ?? 0
        const isBehind = lastIndexOnDisk(other.disk) < other.acknowledged
        if (isBehind && acknowledgedMs > other.state.startedMs) {
          return `${id} reports repaired, but ${other.id} holds ${lastIndexOnDisk(other.disk)} of ${other.acknowledged} entries`
        }
      }
    }
    return undefined
  },
}
