/** Controls the growth of V8's young generation. */
import * as v8 from 'node:v8'

/**
 * Keeps the young generation at its initial size. Otherwise it grows while modules load, by memory that
 * an agent never needs; agents run on every instance, the other roles on a few. Must be called before
 * other modules are loaded, since the young generation does not shrink.
 */
export function disableYoungGenerationGrowth(): void {
  v8.setFlagsFromString('--semi-space-growth-factor=1')
}

/** Allows the young generation to grow, for roles that hold many objects. */
export function enableYoungGenerationGrowth(): void {
  v8.setFlagsFromString('--semi-space-growth-factor=2')
}
