import type * as engines from './engine.js'
import type * as types from './types.js'

export interface TransferContext {
  readonly engine: Pick<engines.Engine<unknown>, 'run' | 'state' | 'halted'>
  readonly clock: types.Clock
  /** Called when the leadership may have changed. */
  readonly watchers: Set<() => void>
  readonly leadership: () => types.Leadership
}

/** Waits until another leader is known, for at most the maximum election timeout. */
const waitForOtherLeader = (context: TransferContext): Promise<boolean> =>
  new Promise((resolve) => {
    const { engine, clock, watchers } = context
    const settle = (done: boolean): void => {
      watchers.delete(watcher)
      cancelTimer()
      resolve(done)
    }
    const watcher = (): void => {
      const { role, leader } = context.leadership()
      if (engine.halted) settle(false)
      else if (role !== 'leader' && leader !== undefined) settle(true)
    }
    const cancelTimer = clock.setTimer(engine.state.config.electionTimeoutMaxMs, () => {
      settle(false)
    })
    watchers.add(watcher)
  })

/** Transfers leadership to `target` or the most advanced voter; resolves to whether another leader is known. */
export const transferLeadership = async (
  context: TransferContext,
  target: string | undefined,
): Promise<boolean> => {
  const { engine } = context
  if (engine.state.role !== 'leader') return context.leadership().leader !== undefined
  engine.run({ kind: 'transfer', target })
  if (engine.state.transfer === undefined) return false
  return waitForOtherLeader(context)
}
