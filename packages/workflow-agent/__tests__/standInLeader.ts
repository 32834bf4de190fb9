/** Stand-in for the leader of a control group, with one agent attached. */
import * as grpc from '@grpc/grpc-js'
import * as protocol from '@ebonyweir/protocol'

/** Run that the orders of the stand-in concern. */
export const RUN: protocol.workflow.TaskRun = {
  job: 'j',
  occurrence: 0,
  step: 0,
  index: 0,
  run: 1,
}

const LEASE_MS = 6_000

type AttachCall = grpc.ServerDuplexStream<
  protocol.workflow.WorkerReport,
  protocol.workflow.WorkerOrders
>

/** Leader that extends the lease with each report and sends the orders that the test gives. */
export const createLeader = async (options: { readonly numbersStreams?: boolean } = {}) => {
  const { numbersStreams = true } = options
  const reports: protocol.workflow.WorkerReport[] = []
  let stream: AttachCall | undefined
  let streamCount = 0
  let term = 3
  const send = (orders: Partial<protocol.workflow.WorkerOrders>): void => {
    stream?.write({
      ...protocol.workflow.WorkerOrders.fromPartial({}),
      fence: term,
      streamNumber: numbersStreams ? streamCount : 0,
      leading: true,
      worker: reports.at(-1)?.worker?.identity,
      ...orders,
    })
  }
  const server = new grpc.Server()
  server.addService(protocol.workflow.WorkflowService, {
    attach: (call: AttachCall) => {
      stream = call
      streamCount += 1
      call.on('data', (report: protocol.workflow.WorkerReport) => {
        reports.push(report)
        send({ leaseUntilMs: report.sample > 0 ? report.clockMs + LEASE_MS : 0 })
      })
    },
  })
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync('127.0.0.1:0', grpc.ServerCredentials.createInsecure(), (error, bound) => {
      if (error === null) resolve(bound)
      else reject(error)
    })
  })
  return {
    address: `127.0.0.1:${port}`,
    reports,
    start: (order: Partial<protocol.workflow.StartOrder>): void => {
      const given = protocol.workflow.StartOrder.fromPartial({ pacePercent: 100 })
      send({ starts: [{ ...given, run: RUN, ...order }] })
    },
    /** Acknowledges all reports so far. */
    acknowledge: (): void => {
      send({ sequence: reports.at(-1)?.sequence ?? 0 })
    },
    /** Reports the ends up to `number` as committed. */
    commit: (number: number): void => {
      send({ acknowledgedEnd: number })
    },
    stop: (): void => {
      send({ stops: [RUN] })
    },
    withdraw: (): void => {
      send({ withdrawals: [RUN] })
    },
    pace: (percent: number): void => {
      send({ paces: [{ run: RUN, percent }] })
    },
    /** Ends the stream and leads a new term from now on, like the next leader at the same address. */
    changeTerm: (): void => {
      term += 1
      streamCount = 0
      stream?.end()
    },
    /** Ends the stream like a replica that lost the leadership. */
    resign: (): void => {
      stream?.end()
    },
    close: (): void => {
      server.forceShutdown()
    },
  }
}
