import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as readline from 'node:readline'
import type * as replicaProcess from './replicaProcess.js'

type Reply = replicaProcess.Reply
type ReplyOf<Kind extends Reply['kind']> = Extract<Reply, { kind: Kind }>

/** Child process with one replica. */
export interface ReplicaChild {
  readonly folder: string
  readonly pid: number
  readonly ready: ReplyOf<'ready'>
  /** Time from the start of the process to its readiness. */
  readonly startMs: number
  send(request: replicaProcess.Request): void
  receive<Kind extends Reply['kind']>(kind: Kind): Promise<ReplyOf<Kind>>
  kill(): Promise<void>
}

/** Starts a replica process on a data folder. */
export const startReplica = async (
  folder: string,
  port: number,
  stateBytes: number,
): Promise<ReplicaChild> => {
  const script = path.join(import.meta.dirname, 'replicaProcess.js')
  const startedMs = performance.now()
  const child = childProcess.spawn(
    process.execPath,
    [script, folder, String(port), String(stateBytes)],
    { stdio: ['pipe', 'pipe', 'inherit'] },
  )
  const exited = new Promise<void>((resolve) => child.once('exit', resolve))
  const pendingReplies: ((reply: Reply) => boolean)[] = []
  readline.createInterface({ input: child.stdout }).on('line', (line) => {
    const reply = JSON.parse(line) as Reply
    const position = pendingReplies.findIndex((accept) => accept(reply))
    if (position >= 0) pendingReplies.splice(position, 1)
  })
  const receive = <Kind extends Reply['kind']>(kind: Kind): Promise<ReplyOf<Kind>> =>
    new Promise((resolve) => {
      pendingReplies.push((reply) => {
        if (reply.kind !== kind) return false
        resolve(reply as ReplyOf<Kind>)
        return true
      })
    })
  const ready = await receive('ready')
  return {
    folder,
    pid: child.pid ?? 0,
    ready,
    startMs: performance.now() - startedMs,
    send: (request) => child.stdin.write(`${JSON.stringify(request)}\n`),
    receive,
    kill: async () => {
      child.kill('SIGKILL')
      await exited
    },
  }
}

/** Sends a request and waits for a reply of the given kind. */
export const ask = <Kind extends Reply['kind']>(
  child: ReplicaChild,
  request: replicaProcess.Request,
  kind: Kind,
): Promise<ReplyOf<Kind>> => {
  const answer = child.receive(kind)
  child.send(request)
  return answer
}

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms))

/** Three replica processes on the loopback interface, each with its own data folder. */
export interface ReplicaGroup {
  readonly children: ReplicaChild[]
  /** Waits for a leader and returns its process. */
  leader(): Promise<ReplicaChild>
  /** Kills a replica with SIGKILL and removes it from `children`. */
  kill(child: ReplicaChild): Promise<void>
  restart(child: ReplicaChild): Promise<ReplicaChild>
  stop(): Promise<void>
}

export const startGroup = async (stateBytes: number): Promise<ReplicaGroup> => {
  const root = fs.mkdtempSync(path.join(os.tmpdir(), 'ebonyweir-bench-'))
  const children = await Promise.all(
    ['a', 'b', 'c'].map((name) => startReplica(path.join(root, name), 0, stateBytes)),
  )
  const members = children.map((child, position) => ({
    id: child.ready.id,
    address: `127.0.0.1:${child.ready.port}`,
    httpAddress: '',
    voter: true,
    failureDomain: String(position),
  }))
  for (const child of children) await ask(child, { kind: 'bootstrap', members }, 'bootstrapped')

  const leader = async (): Promise<ReplicaChild> => {
    const deadlineMs = performance.now() + 30_000
    while (performance.now() < deadlineMs) {
      for (const child of children) {
        const status = await ask(child, { kind: 'status' }, 'status')
        if (status.leader) return child
      }
      await sleep(2)
    }
    throw new Error('replica group elected no leader within 30 s')
  }

  const kill = async (child: ReplicaChild): Promise<void> => {
    children.splice(children.indexOf(child), 1)
    await child.kill()
  }

  return {
    children,
    leader,
    kill,
    restart: async (child) => {
      const restarted = await startReplica(child.folder, child.ready.port, stateBytes)
      children.push(restarted)
      return restarted
    },
    stop: async () => {
      for (const child of [...children]) await kill(child)
      fs.rmSync(root, { recursive: true, force: true })
    },
  }
}
