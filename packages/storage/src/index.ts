/** Durable bytes of a replica: identity, log segments and snapshots. */
export * from './errors.js'
export * from './fileSystem.js'
export * from './nodeFileSystem.js'
export * from './faultFileSystem.js'
export * from './storage.js'
export { formatVersion } from './fileHeader.js'
export type { HardState } from './replay.js'
export type { SnapshotMeta, StoredSnapshot } from './snapshotFile.js'
