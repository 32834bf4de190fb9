/** Control replicas for tests of the agent: real gRPC on loopback, behind a relay that counts connections. */
import * as threads from 'node:worker_threads'
import * as relays from '../../workflow-client/__tests__/relay.js'

export interface Behaviour {
  readonly leading: boolean
  /** Leader's address that a replica which is not the leader replies with; empty if it knows none. */
  readonly leader: string
  readonly fence: number
  /** Delay before the first report of a stream is answered. */
  readonly firstAnswerMs: number
  /** Length of each block of the replica's event loop; 0 for none. */
  readonly blockedMs: number
  /** Time between two blocks; 0 for one block in each turn of the event loop. */
  readonly freeMs: number
}

export interface Replica extends Omit<relays.Relay, 'stop'> {
  readonly change: (change: Partial<Behaviour>) => void
  readonly stop: () => Promise<void>
}

const LEADER: Behaviour = {
  leading: true,
  leader: '',
  fence: 1,
  firstAnswerMs: 0,
  blockedMs: 0,
  freeMs: 50,
}

export const startReplica = async (behaviour: Partial<Behaviour> = {}): Promise<Replica> => {
  const worker = new threads.Worker(new URL('./replicaThread.mjs', import.meta.url), {
    workerData: { ...LEADER, ...behaviour },
    // The thread resolves the built packages; the resolution of the test runner does not apply to it.
    execArgv: [],
  })
  const targetPort = await new Promise<number>((resolve) => worker.once('message', resolve))
  const relay = await relays.startRelay(targetPort)
  return {
    ...relay,
    change: (change) => {
      worker.postMessage(change)
    },
    stop: async () => {
      relay.stop()
      const exited = new Promise((resolve) => worker.once('exit', resolve))
      worker.postMessage('stop')
      await exited
    },
  }
}
