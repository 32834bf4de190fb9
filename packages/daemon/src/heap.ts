/** Size of V8's young generation. */
import * as v8 from 'node:v8'

/**
 * Keeps the young generation at its first size. It otherwise grows while modules load, by memory that an
 * agent never needs; agents run on every instance, the other roles on a few. To be called before other
 * modules are loaded, since the young generation does not shrink.
 */
export function keepYoungGenerationSmall(): void {
  v8.setFlagsFromString('--semi-space-growth-factor=1')
}

/** Lets the young generation grow, for roles that hold many objects. */
export function letYoungGenerationGrow(): void {
  v8.setFlagsFromString('--semi-space-growth-factor=2')
}
