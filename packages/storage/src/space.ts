import * as path from 'node:path'
import * as results from 'ts-results-es'
import * as errors from './errors.js'
import type * as fileSystems from './fileSystem.js'
import * as nodeFileSystems from './nodeFileSystem.js'

/** Free space that a replica needs to start: one batch of log writes. */
const PROBE_BYTES = 64 * 1024

const PROBE_FILE = 'space.probe'

export interface SpaceOptions {
  readonly folder: string
  /** @default file system of the operating system */
  readonly fileSystem?: fileSystems.FileSystem
}

/** Checks with a trial write that the disk of a data folder accepts data; fails with the error of the system call. */
export const probeSpace = async (
  options: SpaceOptions,
): Promise<results.Result<undefined, errors.DiskError>> => {
  const fileSystem = options.fileSystem ?? new nodeFileSystems.NodeFileSystem()
  const file = path.join(options.folder, PROBE_FILE)
  try {
    await fileSystem.ensureFolder(options.folder)
    const probe = await fileSystem.open(file)
    try {
      await probe.append([Buffer.alloc(PROBE_BYTES)])
      await probe.sync()
    } finally {
      await probe.close()
      await fileSystem.remove(file)
    }
    return results.Ok(undefined)
  } catch (error) {
    return results.Err(errors.toDiskError(error))
  }
}
