import * as crypto from 'node:crypto'
import * as readline from 'node:readline'
import type * as protocol from '@ebonyweir/protocol'
import * as replicas from '@ebonyweir/replica'
import * as transports from './loopbackTransport.js'

/** Requests of the parent process, one JSON object per line. */
export type Request =
  | { readonly kind: 'bootstrap'; readonly members: readonly protocol.replication.Member[] }
  /** Commits commands for `durationMs`; each submitter waits for a commit before its next command. */
  | {
      readonly kind: 'load'
      readonly submitters: number
      readonly durationMs: number
      readonly payloadBytes: number
    }
  | { readonly kind: 'propose' }
  | { readonly kind: 'status' }

/** Replies to the parent process, one JSON object per line. */
export type Reply =
  | { readonly kind: 'ready'; readonly id: string; readonly port: number; readonly openMs: number }
  | { readonly kind: 'bootstrapped' }
  | {
      readonly kind: 'loaded'
      readonly committed: number
      readonly failed: number
      readonly elapsedMs: number
      /** Latencies of all commits in microseconds. */
      readonly latenciesUs: readonly number[]
      /** Longest time that a snapshot of the state machine blocked the event loop. */
      readonly snapshotMs: number
    }
  | { readonly kind: 'proposed'; readonly ok: boolean }
  | {
      readonly kind: 'status'
      readonly leader: boolean
      readonly commitIndex: number
      readonly cpuMs: number
      readonly rssMb: number
    }

const [dataFolder = '', portText = '0', stateBytesText = '0'] = process.argv.slice(2)
const stateBytes = Number(stateBytesText)

const reply = (message: Reply): void => {
  process.stdout.write(`${JSON.stringify(message)}\n`)
}

/** State machine with a state of fixed size, so that a snapshot has a realistic size. */
const createMachine = () => {
  let applied = 0
  let snapshotMs = 0
  const state = crypto.randomBytes(stateBytes)
  const machine: replicas.StateMachine<number> = {
    apply: () => (applied += 1),
    snapshot: () => {
      const startedMs = performance.now()
      const copy = Buffer.from(state)
      snapshotMs = Math.max(snapshotMs, performance.now() - startedMs)
      return copy
    },
    restore: () => undefined,
  }
  return { machine, snapshotMs: () => snapshotMs }
}

const run = async (): Promise<void> => {
  const pending: protocol.replication.ReplicationEnvelope[] = []
  let deliver = (envelope: protocol.replication.ReplicationEnvelope): void => {
    pending.push(envelope)
  }
  const transport = await transports.createLoopbackTransport(Number(portText), (envelope) => {
    deliver(envelope)
  })
  const { machine, snapshotMs } = createMachine()
  const startedMs = performance.now()
  const created = await replicas.createReplica<number>({
    cell: 'bench',
    dataFolder,
    stateMachine: machine,
    transport,
    onFatal: (error) => {
      process.stderr.write(`${error.kind}: ${error.detail}\n`)
      process.exit(1)
    },
  })
  const replica = created.unwrap()
  const openMs = performance.now() - startedMs
  deliver = (envelope) => {
    replica.deliver(envelope)
  }
  replica.start()

  const load = async (request: Extract<Request, { kind: 'load' }>): Promise<void> => {
    const latenciesUs: number[] = []
    const loadStartMs = performance.now()
    let failed = 0
    const submit = async (): Promise<void> => {
      const payload = crypto.randomBytes(request.payloadBytes)
      while (performance.now() - loadStartMs < request.durationMs) {
        const sentMs = performance.now()
        const result = await replica.propose(payload)
        if (result.isOk()) latenciesUs.push(Math.round((performance.now() - sentMs) * 1_000))
        else {
          failed += 1
          return
        }
      }
    }
    await Promise.all(Array.from({ length: request.submitters }, submit))
    const elapsedMs = performance.now() - loadStartMs
    const committed = latenciesUs.length
    reply({
      kind: 'loaded',
      committed,
      failed,
      elapsedMs,
      latenciesUs,
      snapshotMs: snapshotMs(),
    })
  }

  const status = (): void => {
    const { user, system } = process.cpuUsage()
    reply({
      kind: 'status',
      leader: replica.leadership().leaseValid,
      commitIndex: replica.membersStatus().commitIndex,
      cpuMs: (user + system) / 1_000,
      rssMb: process.memoryUsage().rss / 1024 / 1024,
    })
  }

  const handle = async (request: Request): Promise<void> => {
    switch (request.kind) {
      case 'bootstrap':
        ;(await replica.bootstrap(request.members)).unwrap()
        reply({ kind: 'bootstrapped' })
        return
      case 'load':
        await load(request)
        return
      case 'propose':
        reply({ kind: 'proposed', ok: (await replica.propose(Buffer.from('x'))).isOk() })
        return
      case 'status':
        status()
    }
  }

  const lines = readline.createInterface({ input: process.stdin })
  lines.on('line', (line) => {
    void handle(JSON.parse(line) as Request)
  })
  // The parent process exited.
  lines.on('close', () => process.exit(0))
  reply({ kind: 'ready', id: replica.id, port: transport.port, openMs })
}

await run()
