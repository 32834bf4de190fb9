import * as results from 'ts-results-es'
import * as errors from './errors.js'

/** Format version of every file in the data folder. */
export const formatVersion = 1

export const headerBytes = 8

/** Magic number of a file type: segment or snapshot. */
export type FileMagic = 'EWSG' | 'EWSN'

export const encode = (magic: FileMagic): Buffer => {
  const header = Buffer.alloc(headerBytes)
  header.write(magic, 0, 'latin1')
  header.writeUInt32BE(formatVersion, 4)
  return header
}

/** Error that names a file of a newer format version. */
export const newerVersion = (file: string, version: number): errors.OpenError => ({
  kind: 'newer-version',
  detail: `${file} has format version ${version}; this release reads up to version ${formatVersion}`,
})

/** Checks the type and the format version of a file. */
export const check = (
  file: string,
  magic: FileMagic,
  bytes: Buffer,
): results.Result<undefined, errors.OpenError> => {
  if (bytes.length < headerBytes || bytes.toString('latin1', 0, 4) !== magic) {
    return results.Err(errors.damaged(file, 'the file header is missing or damaged'))
  }
  const version = bytes.readUInt32BE(4)
  if (version > formatVersion) return results.Err(newerVersion(file, version))
  return results.Ok(undefined)
}
