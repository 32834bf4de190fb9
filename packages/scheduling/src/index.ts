/** Scheduling policy of a cell: decisions from the control state and the leader's soft state. */
export * from './scheduler.js'
export * from './types.js'
export {
  DEFAULT_PARTS,
  type PlacementKind,
  type PolicyParts,
  type SchedulerOptions,
  type VictimKind,
} from './options.js'
export { isQuarantined } from './quarantine.js'
