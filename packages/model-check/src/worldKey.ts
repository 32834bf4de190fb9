import * as consensus from '@ebonyweir/consensus'
import * as worlds from './world.js'

/** Ages beyond this many milliseconds behave the same. */
const oldMs = 2_500

const age = (nowMs: number, thenMs: number | undefined): string =>
  thenMs === undefined ? '-' : String(Math.min(Math.round(nowMs - thenMs), oldMs))

const logKey = (log: consensus.logs.Log): string => {
  const entries = consensus.logs.slice(log, log.baseIndex + 1, Number.MAX_SAFE_INTEGER)
  return `${log.baseIndex}.${log.baseTerm}:${entries.map(worlds.entryText).join(',')}`
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
    age(nowMs, progress.lastContactMs),
    progress.sample === undefined
      ? ''
      : `${progress.sample.round}@${age(nowMs, progress.sample.sentMs)}`,
    age(nowMs, progress.leaseSentMs),
    progress.refused,
    progress.lapsed,
    progress.fenceIndex,
    progress.snapshot?.lastIndex,
  ].join('/')

/** Text of a message; equal messages are interchangeable. */
export const envelopeKey = (envelope: worlds.Envelope): string => {
  const { from, to, term, body } = envelope
  if (body?.$case === 'appendRequest') {
    const { previousIndex, previousTerm, entries, commitIndex, round } = body.value
    const texts = entries.map(worlds.entryText).join(',')
    return `${from}>${to}@${term} append ${previousIndex}.${previousTerm}+[${texts}] commit ${commitIndex} round ${round}`
  }
  if (body?.$case === 'snapshotChunk') {
    return `${from}>${to}@${term} snapshot ${body.value.lastIndex}.${body.value.lastTerm}`
  }
  const value = JSON.stringify(body?.value)
  return `${from}>${to}@${term} ${body?.$case ?? ''} ${value}`
}

const stateKey = (node: worlds.Node): string => {
  const { state, nowMs } = node
  const lead = state.role === 'leader'
  return [
    state.role,
    state.hardState.term,
    state.hardState.votedFor,
    logKey(state.log),
    state.commitIndex,
    state.syncedIndex,
    state.held.map((item) => envelopeKey(item.envelope)).join(';'),
    state.leaderId,
    age(nowMs, state.leaderContactMs),
    age(nowMs, state.startedMs),
    age(nowMs, state.electionStartMs),
    state.votes.join(''),
    lead ? state.round : '',
    lead ? age(nowMs, state.heartbeatSentMs) : '',
    lead ? state.termStartIndex : '',
    state.transfer === undefined
      ? ''
      : `${state.transfer.target}${state.transfer.sent}${age(nowMs, state.transfer.deadlineMs)}`,
    ...Object.entries(state.progress).map(([id, item]) => progressKey(nowMs, id, item)),
  ].join('|')
}

const nodeKey = (node: worlds.Node): string => {
  const { hardState, entries, snapshot } = node.disk
  const disk = `${hardState.term}.${hardState.votedFor ?? ''}.${snapshot?.lastIndex ?? 0}:${entries.map(worlds.entryText).join(',')}`
  const unsynced = node.unsynced
    .map((write) => write.entries.map(worlds.entryText).join(','))
    .join(';')
  return [node.id, node.acknowledged, disk, unsynced, node.alive ? stateKey(node) : 'down'].join(
    '#',
  )
}

/** Only the order on each link matters. */
const networkKey = (network: readonly worlds.Envelope[]): string => {
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

/** Text that is equal for worlds with the same future. */
export const worldKey = (world: worlds.World): string =>
  [
    ...Object.values(world.nodes).map(nodeKey),
    networkKey(world.network),
    Object.values(world.budget).join(','),
    Object.values(world.ghost.committed).join(','),
    world.ghost.acknowledgedCommand,
    Object.entries(world.ghost.leaders).join(','),
    world.ghost.problem,
  ].join('\n')
