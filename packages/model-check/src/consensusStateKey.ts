import * as consensus from '@ebonyweir/consensus'
import * as states from './consensusState.js'

/** Ages above this many milliseconds behave the same. */
const MAX_AGE_MS = 2_500

const ageText = (nowMs: number, thenMs: number | undefined): string =>
  thenMs === undefined ? '-' : String(Math.min(Math.round(nowMs - thenMs), MAX_AGE_MS))

const logKey = (log: consensus.logs.Log): string => {
  const entries = consensus.logs.slice(log, log.baseIndex + 1, Number.MAX_SAFE_INTEGER)
  return `${log.baseIndex}.${log.baseTerm}:${entries.map(states.entryText).join(',')}`
}

const progressKey = (nowMs: number, id: string, progress: consensus.Progress): string =>
  [
    id,
    progress.nextIndex,
    progress.matchIndex,
    progress.matchRound,
    progress.resetRound,
    progress.inFlight.map((item) => item.lastIndex).join('+'),
    progress.window,
    ageText(nowMs, progress.lastContactMs),
    progress.sample === undefined
      ? ''
      : `${progress.sample.round}@${ageText(nowMs, progress.sample.sentMs)}`,
    ageText(nowMs, progress.leaseSentMs),
    progress.refused,
    progress.lapsed,
    progress.fenceIndex,
    progress.snapshot?.lastIndex,
  ].join('/')

/** Key of a message; messages with equal keys are interchangeable. */
export const envelopeKey = (envelope: states.Envelope): string => {
  const { from, to, term, body } = envelope
  if (body?.$case === 'appendRequest') {
    const { previousIndex, previousTerm, entries, commitIndex, round } = body.value
    const texts = entries.map(states.entryText).join(',')
    return `${from}>${to}@${term} append ${previousIndex}.${previousTerm}+[${texts}] commit ${commitIndex} round ${round}`
  }
  if (body?.$case === 'snapshotChunk') {
    return `${from}>${to}@${term} snapshot ${body.value.lastIndex}.${body.value.lastTerm}`
  }
  const value = JSON.stringify(body?.value)
  return `${from}>${to}@${term} ${body?.$case ?? ''} ${value}`
}

const replicaStateKey = (node: states.Node): string => {
  const { state, nowMs } = node
  const isLeader = state.role === 'leader'
  return [
    state.role,
    state.hardState.term,
    state.hardState.votedFor,
    logKey(state.log),
    state.commitIndex,
    state.syncedIndex,
    state.held.map((item) => envelopeKey(item.envelope)).join(';'),
    state.leaderId,
    ageText(nowMs, state.leaderContactMs),
    ageText(nowMs, state.startedMs),
    ageText(nowMs, state.electionStartMs),
    state.votes.join(''),
    isLeader ? state.round : '',
    isLeader ? ageText(nowMs, state.heartbeatSentMs) : '',
    isLeader ? state.termStartIndex : '',
    state.transfer === undefined
      ? ''
      : `${state.transfer.target}${state.transfer.sent}${ageText(nowMs, state.transfer.deadlineMs)}`,
    ...Object.entries(state.progress).map(([id, item]) => progressKey(nowMs, id, item)),
  ].join('|')
}

const nodeKey = (node: states.Node): string => {
  const { hardState, entries, snapshot } = node.disk
  const disk = `${hardState.term}.${hardState.votedFor ?? ''}.${snapshot?.lastIndex ?? 0}:${entries.map(states.entryText).join(',')}`
  const unsynced = node.unsynced
    .map((write) => write.entries.map(states.entryText).join(','))
    .join(';')
  return [
    node.id,
    node.acknowledged,
    disk,
    unsynced,
    node.alive ? replicaStateKey(node) : 'down',
  ].join('#')
}

/** Key of the messages in transit; only the order on each link matters. */
const networkKey = (network: readonly states.Envelope[]): string => {
  const links = new Map<string, string[]>()
  for (const envelope of network) {
    const link = `${envelope.from}>${envelope.to}`
    const queue = links.get(link)
    if (queue === undefined) links.set(link, [envelopeKey(envelope)])
    else queue.push(envelopeKey(envelope))
  }
  return [...links.keys()]
    .sort()
    .map((link) => links.get(link)?.join(';') ?? '')
    .join('\n')
}

/** State key: equal for states with the same future behaviour. */
export const systemKey = (system: states.ConsensusModelState): string =>
  [
    ...Object.values(system.nodes).map(nodeKey),
    networkKey(system.network),
    Object.values(system.budget).join(','),
    Object.values(system.ghost.committed).join(','),
    system.ghost.acknowledgedCommand,
    Object.entries(system.ghost.leaders).join(','),
    system.ghost.problem,
  ].join('\n')
