import type * as engines from './engine.js'
import type * as types from './types.js'

export interface TransferContext {
  readonly engine: Pick<engines.Engine<unknown>, 'run' | 'state' | 'halted'>
  readonly clock: types.Clock
  /** Called when the leadership may have changed. */
  readonly watchers: Set<() => void>
  readonly leadership: () => types.Leadership
}

/** Waits until another leader is known, at most for the longest election timeout. */
const otherLeader = (context: TransferContext): Promise<boolean> =>
  new Promise((resolve) => {
    const { engine, clock, watchers } = context
    const finish = (done: boolean): void => {
      watchers.delete(watcher)
      cancelTimer()
      resolve(done)
    }
    const watcher = (): void => {
      const { role, leader } = context.leadership()
      if (engine.halted) finish(false)
      else if (role !== 'leader' && leader !== undefined) finish(true)
    }
    const cancelTimer = clock.setTimer(engine.state.config.electionTimeoutMaxMs, () => {
      finish(false)
    })
    watchers.add(watcher)
  })

/** Hands leadership to `target` or to the most advanced voter; resolves to whether another leader is known. */
export const transferLeadership = async (
  context: TransferContext,
  target: string | undefined,
): Promise<boolean> => {
  const { engine } = context
  if (engine.state.role !== 'leader') return context.leadership().leader !== undefined
  engine.run({ kind: 'transfer', target })
  if (engine.state.transfer === undefined) return false
  return otherLeader(context)
}
