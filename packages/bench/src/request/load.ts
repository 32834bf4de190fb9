/** Load of the request benchmark: the same caller, interleaved directly and through the entry and the agent. */
import * as hdr from 'hdr-histogram-js'
import * as undici from 'undici'

/** Sends one request and returns its status. */
export type Send = () => Promise<number>

export interface Latencies {
  readonly p50Ms: number
  readonly p99Ms: number
  readonly p999Ms: number
  readonly failed: number
}

const CONNECTIONS = 64
const REQUEST_BODY = Buffer.alloc(256, 'b')

export interface Target {
  readonly send: Send
  readonly close: () => Promise<void>
}

/** Opens a pool of keep-alive connections to an address. */
export const openTarget = (address: string, path: string): Target => {
  const pool = new undici.Pool(`http://${address}`, { connections: CONNECTIONS })
  return {
    send: async () => {
      const reply = await pool.request({ method: 'POST', path, body: REQUEST_BODY })
      await reply.body.dump()
      return reply.statusCode
    },
    close: async () => pool.close(),
  }
}

const toLatencies = (histogram: hdr.Histogram, failed: number): Latencies => ({
  p50Ms: histogram.getValueAtPercentile(50) / 1_000,
  p99Ms: histogram.getValueAtPercentile(99) / 1_000,
  p999Ms: histogram.getValueAtPercentile(99.9) / 1_000,
  failed,
})

const pause = async (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms)
  })

/**
 * Open loop: sends to the targets in turn at a fixed rate that does not depend on the responses.
 * Latency is measured from the time at which a request is sent.
 */
export const measureLatencies = async (
  targets: readonly Send[],
  perSecond: number,
  durationMs: number,
): Promise<readonly Latencies[]> => {
  const histograms = targets.map(() => hdr.build())
  const failed = targets.map(() => 0)
  const pending: Promise<void>[] = []
  const startMs = performance.now()
  const count = Math.floor((perSecond * durationMs) / 1_000)
  const sendOne = async (index: number, startedMs: number): Promise<void> => {
    const status = await targets[index]?.().catch(() => 0)
    if (status !== 200) failed[index] = (failed[index] ?? 0) + 1
    else histograms[index]?.recordValue(Math.round((performance.now() - startedMs) * 1_000))
  }
  for (let i = 0; i < count; i++) {
    const dueMs = startMs + (i * 1_000) / perSecond
    const aheadMs = dueMs - performance.now()
    if (aheadMs > 0) await pause(aheadMs)
    pending.push(sendOne(i % targets.length, performance.now()))
  }
  await Promise.all(pending)
  return histograms.map((histogram, i) => toLatencies(histogram, failed[i] ?? 0))
}

/** Closed loop with `concurrency` requests in flight; returns answered requests per second. */
export const measureThroughput = async (
  send: Send,
  concurrency: number,
  durationMs: number,
): Promise<number> => {
  const startMs = performance.now()
  let answered = 0
  const loop = async (): Promise<void> => {
    while (performance.now() - startMs < durationMs) if ((await send()) === 200) answered++
  }
  await Promise.all(Array.from({ length: concurrency }, loop))
  return (answered * 1_000) / (performance.now() - startMs)
}
