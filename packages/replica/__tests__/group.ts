import * as vitest from 'vitest'
import * as replica from '@ebonyweir/replica'
import * as storage from '@ebonyweir/storage'

type Replica = replica.Replica<number>

/** State machine that stores every command; the outcome is the number of commands so far. */
export const createListMachine = () => {
  const applied: string[] = []
  const machine: replica.StateMachine<number> = {
    apply: (entry) => applied.push(Buffer.from(entry.payload).toString()),
    snapshot: () => Buffer.from(JSON.stringify(applied)),
    restore: (bytes) => {
      const restored = JSON.parse(Buffer.from(bytes).toString()) as string[]
      applied.splice(0, applied.length, ...restored)
    },
  }
  return { applied, machine }
}

/** One running replica of a test group. */
export interface Node {
  readonly name: string
  readonly replica: Replica
  readonly applied: readonly string[]
  readonly fatal: readonly replica.FatalError[]
}

const timing = {
  heartbeatMs: 20,
  electionTimeoutMinMs: 300,
  electionTimeoutMaxMs: 600,
  leaderLeaseMs: 270,
}

/** Group of replicas in one process with in-memory disks; `isolated` replicas are partitioned from the others. */
export const createGroup = (options: Partial<replica.ReplicaOptions<number>> = {}) => {
  const disks = new Map<string, storage.FaultFileSystem>()
  const running = new Map<string, Node>()
  const isolated = new Set<string>()

  const transportOf = (name: string): replica.Transport => ({
    send: (envelope, address) => {
      setImmediate(() => {
        if (isolated.has(name) || isolated.has(address) || !running.has(name)) return
        running.get(address)?.replica.deliver(envelope)
      })
    },
  })

  const start = async (name: string): Promise<Node> => {
    const disk = disks.get(name) ?? new storage.FaultFileSystem()
    disks.set(name, disk)
    const { applied, machine } = createListMachine()
    const fatal: replica.FatalError[] = []
    const created = await replica.createReplica<number>({
      cell: 'test',
      dataFolder: '/data',
      fileSystem: disk,
      stateMachine: machine,
      transport: transportOf(name),
      onFatal: (error) => fatal.push(error),
      ...options,
      consensus: { ...timing, ...options.consensus },
    })
    const node = { name, replica: created.unwrap(), applied, fatal }
    running.set(name, node)
    node.replica.start()
    return node
  }

  const memberOf = (node: Node) => ({
    id: node.replica.id,
    address: node.name,
    httpAddress: `${node.name}-http`,
    voter: true,
    failureDomain: node.name,
  })

  const form = async (names: readonly string[]): Promise<readonly Node[]> => {
    const nodes = await Promise.all(names.map(start))
    const members = nodes.map(memberOf)
    for (const node of nodes) (await node.replica.bootstrap(members)).unwrap()
    return nodes
  }

  const leader = (): Promise<Node> =>
    vitest.vi.waitUntil(
      () =>
        [...running.values()].find(
          (node) => !isolated.has(node.name) && node.replica.leadership().leaseValid,
        ),
      { timeout: 30_000, interval: 5 },
    )

  /** Stops a replica as a loss of power would. */
  const crash = (name: string, unsynced?: storage.UnsyncedBytes): void => {
    const node = running.get(name)
    running.delete(name)
    void node?.replica.stop()
    const disk = disks.get(name)?.clone()
    if (disk === undefined) return
    disk.crash(unsynced)
    disks.set(name, disk)
  }

  return {
    disks,
    running,
    isolated,
    start,
    form,
    memberOf,
    leader,
    crash,
    loseDisk: (name: string) => disks.delete(name),
    stop: () => Promise.all([...running.values()].map((node) => node.replica.stop())),
  }
}

export type Group = ReturnType<typeof createGroup>

/** Proposes until a leader commits, so the command may be proposed repeatedly. */
export const commit = async (group: Group, text: string): Promise<number> => {
  for (;;) {
    const node = await group.leader()
    const result = await node.replica.propose(Buffer.from(text))
    if (result.isOk()) return result.value.index
  }
}

export const waitFor = (condition: () => boolean): Promise<boolean> =>
  vitest.vi.waitUntil(condition, { timeout: 30_000, interval: 5 })
