/** Group of replicas on simulated links of limited bandwidth, in simulated time. */
import type * as protocol from '@ebonyweir/protocol'
import * as consensus from '@ebonyweir/consensus'

type Envelope = protocol.replication.ReplicationEnvelope

export interface Links {
  /** Bytes per millisecond that a replica sends to all others together. */
  readonly bytesPerMs: number
  readonly latencyMs: number
  /** Age at which the transport drops a message, in milliseconds. */
  readonly timeoutMs: number
}

const SYNC_MS = 4
const TICK_MS = 25

const payloadBytes = ({ body }: Envelope): number =>
  body?.$case === 'appendRequest'
    ? body.value.entries.reduce((sum, { payload }) => sum + payload.length, 0)
    : 0

export const createSlowGroup = (ids: readonly string[], links: Links) => {
  const states = new Map<string, consensus.State>()
  const events: { readonly atMs: number; readonly run: () => void }[] = []
  const linkFreeAtMs = new Map<string, number>()
  const lostLinks = new Set<string>()
  let nowMs = 0
  let sentBytes = 0

  const schedule = (atMs: number, run: () => void): void => {
    events.push({ atMs, run })
    events.sort((a, b) => a.atMs - b.atMs)
  }

  /** Messages without payload overtake those with payload, as calls on one HTTP/2 connection do. */
  const send = (from: string, envelope: Envelope): void => {
    const bytes = payloadBytes(envelope)
    const { to } = envelope
    if (lostLinks.has(`${from} ${to}`)) return
    sentBytes += bytes
    const startMs = Math.max(nowMs, linkFreeAtMs.get(from) ?? 0)
    const endMs = bytes === 0 ? nowMs : startMs + bytes / links.bytesPerMs
    const isTimedOut = endMs - nowMs > links.timeoutMs
    if (bytes > 0) linkFreeAtMs.set(from, isTimedOut ? startMs : endMs)
    if (isTimedOut) return
    schedule(endMs + links.latencyMs, () => {
      step(to, { kind: 'message', envelope })
    })
  }

  const step = (id: string, input: consensus.Input): void => {
    const before = states.get(id)
    if (before === undefined) return
    const { state, outputs } = consensus.step(before, input, nowMs)
    states.set(id, state)
    for (const output of outputs) {
      if (output.kind === 'send') send(id, output.envelope)
      if (output.kind !== 'persist') continue
      const { sequence } = output
      schedule(nowMs + SYNC_MS, () => {
        step(id, { kind: 'synced', sequence })
      })
    }
  }

  const runUntil = (untilMs: number): void => {
    for (let event = events[0]; event !== undefined && event.atMs <= untilMs; event = events[0]) {
      events.shift()
      nowMs = event.atMs
      event.run()
    }
    nowMs = untilMs
  }

  const tick = (id: string, jitter: number): void => {
    step(id, { kind: 'tick', jitter })
    schedule(nowMs + TICK_MS, () => {
      tick(id, jitter)
    })
  }

  const members = ids.map((id) => ({
    id,
    address: id,
    httpAddress: id,
    voter: true,
    failureDomain: id,
  }))
  for (const [position, id] of ids.entries()) {
    const config = consensus.resolveConfig({ cell: 'c', id })
    const disk = { snapshot: undefined, entries: [], hardState: { term: 0, votedFor: undefined } }
    states.set(id, consensus.createState(config, disk, 0, position / ids.length))
    step(id, { kind: 'bootstrap', membership: { members } })
    tick(id, position / ids.length)
  }

  const leader = (): consensus.State | undefined =>
    [...states.values()].find(({ role }) => role === 'leader')

  return {
    runUntil,
    leader,
    propose: (payloads: readonly Uint8Array[]) => {
      step(leader()?.config.id ?? '', { kind: 'propose', payloads })
    },
    nowMs: () => nowMs,
    sentBytes: () => sentBytes,
    /** Whether every replica has committed all entries of the leader. */
    isFullyCommitted: () => {
      const last = leader()?.log.lastIndex
      return [...states.values()].every(({ commitIndex }) => commitIndex === last)
    },
    /** Drops all further messages from one replica to another. */
    dropMessages: (from: string, to: string) => lostLinks.add(`${from} ${to}`),
    restoreLinks: () => {
      lostLinks.clear()
    },
  }
}
