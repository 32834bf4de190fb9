// Control replica in its own thread, so that its event loop can be blocked while that of the test runs.
// Uses the built packages, since a thread does not share the test runner's module resolution.
import * as timers from 'node:timers'
import * as threads from 'node:worker_threads'
import * as grpc from '@grpc/grpc-js'
import * as protocol from '@ebonyweir/protocol'

/** @type {{ leading: boolean, leader: string, fence: number, firstAnswerMs: number, blockedMs: number, freeMs: number }} */
const behaviour = { ...threads.workerData }

const answer = (call, sequence) => {
  call.write({
    sequence,
    fence: behaviour.fence,
    streamNumber: 1,
    leaseUntilMs: 0,
    acknowledgedEnd: 0,
    starts: [],
    stops: [],
    hint: { leader: behaviour.leading ? '' : behaviour.leader, members: [] },
    leading: behaviour.leading,
    worker: undefined,
    paces: [],
    withdrawals: [],
  })
  if (!behaviour.leading) call.end()
}

let attached

const attach = (call) => {
  let reported = false
  let newest = 0
  let isLate = true
  call.on('data', ({ sequence }) => {
    newest = sequence
    if (!behaviour.leading || !isLate) {
      answer(call, sequence)
      return
    }
    if (reported) return
    reported = true
    // A leader ends the older stream of an agent.
    attached?.end()
    attached = call
    timers.setTimeout(() => {
      isLate = false
      answer(call, newest)
    }, behaviour.firstAnswerMs)
  })
  call.on('error', () => undefined)
  call.on('end', () => call.end())
}

const idle = new Int32Array(new SharedArrayBuffer(4))

let stopped = false

const block = () => {
  if (stopped) return
  const { blockedMs, freeMs } = behaviour
  if (blockedMs > 0) Atomics.wait(idle, 0, 0, blockedMs)
  // Without free time each turn of the event loop is blocked once.
  if (blockedMs > 0 && freeMs === 0) timers.setImmediate(block)
  else timers.setTimeout(block, Math.max(1, freeMs))
}

const server = new grpc.Server()
server.addService(protocol.workflow.WorkflowService, { attach })
server.bindAsync('127.0.0.1:0', grpc.ServerCredentials.createInsecure(), (error, port) => {
  if (error !== null) throw error
  threads.parentPort.postMessage(port)
  block()
})
threads.parentPort.on('message', (change) => {
  if (change !== 'stop') {
    Object.assign(behaviour, change)
    return
  }
  stopped = true
  server.forceShutdown()
  threads.parentPort.close()
})
