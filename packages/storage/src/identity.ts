import * as crypto from 'node:crypto'
import * as path from 'node:path'
import * as results from 'ts-results-es'
import * as errors from './errors.js'
import * as fileHeader from './fileHeader.js'
import type * as fileSystems from './fileSystem.js'

const identityFile = 'identity.json'

/** Identity of a replica; it has the same lifetime as the data folder. */
export interface Identity {
  readonly formatVersion: number
  readonly cell: string
  readonly id: string
}

/** Writes a file under a temporary name and renames it, so that it is never incomplete. */
export const writeAtomically = async (
  fileSystem: fileSystems.FileSystem,
  folder: string,
  name: string,
  parts: readonly Buffer[],
): Promise<void> => {
  const temporary = path.join(folder, `${name}.tmp`)
  await fileSystem.remove(temporary)
  const file = await fileSystem.open(temporary)
  await file.append(parts)
  await file.sync()
  await file.close()
  await fileSystem.rename(temporary, path.join(folder, name))
  await fileSystem.syncFolder(folder)
}

const parseJson = (text: string): Partial<Identity> | undefined => {
  try {
    return JSON.parse(text) as Partial<Identity>
  } catch {
    return undefined
  }
}

const parseIdentity = (text: string, cell: string): results.Result<Identity, errors.OpenError> => {
  const identity = parseJson(text)
  const { formatVersion, id } = identity ?? {}
  if (formatVersion !== undefined && formatVersion > fileHeader.formatVersion) {
    return results.Err(fileHeader.newerVersion(identityFile, formatVersion))
  }
  if (formatVersion === undefined || id === undefined || identity?.cell === undefined) {
    return results.Err(
      errors.damaged(identityFile, 'not a replica identity: formatVersion, id or cell is missing'),
    )
  }
  if (identity.cell !== cell) {
    const problem = `belongs to cell "${identity.cell}", not to "${cell}"`
    return results.Err(errors.damaged(identityFile, problem))
  }
  return results.Ok({ formatVersion, cell, id })
}

/** Reads the identity of the data folder, or creates one if the folder has no log. */
export const openIdentity = async (
  fileSystem: fileSystems.FileSystem,
  folder: string,
  cell: string,
): Promise<results.Result<Identity, errors.OpenError>> => {
  const names = await fileSystem.list(folder)
  if (names.includes(identityFile)) {
    const bytes = await fileSystem.read(path.join(folder, identityFile))
    return parseIdentity(bytes.toString('utf8'), cell)
  }
  if (names.some((name) => name.endsWith('.seg') || name.endsWith('.snap'))) {
    return results.Err(
      errors.damaged(identityFile, 'missing although the folder contains segments or snapshots'),
    )
  }
  const identity = { formatVersion: fileHeader.formatVersion, cell, id: crypto.randomUUID() }
  const text = `${JSON.stringify(identity, undefined, 2)}\n`
  await writeAtomically(fileSystem, folder, identityFile, [Buffer.from(text)])
  return results.Ok(identity)
}
