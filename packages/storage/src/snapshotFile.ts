import * as path from 'node:path'
import * as zlib from 'node:zlib'
import * as protocol from '@ebonyweir/protocol'
import * as results from 'ts-results-es'
import * as errors from './errors.js'
import * as fileHeader from './fileHeader.js'
import type * as fileSystems from './fileSystem.js'
import * as frames from './frame.js'
import * as identities from './identity.js'

/** Log position and membership at the time of a snapshot. */
export interface SnapshotMeta {
  readonly lastIndex: number
  readonly lastTerm: number
  readonly membership: protocol.replication.Membership
}

/** Snapshot as read from the disk. */
export interface StoredSnapshot {
  readonly meta: SnapshotMeta
  readonly data: Buffer
}

/** File and offset of the data of a snapshot, for reading it in chunks. */
export interface SnapshotLocation {
  readonly name: string
  readonly lastIndex: number
  readonly dataOffset: number
  readonly dataBytes: number
}

const fileName = (lastIndex: number): string =>
  `snapshot-${String(lastIndex).padStart(16, '0')}.snap`

export const isSnapshot = (name: string): boolean => /^snapshot-\d{16}\.snap$/.test(name)

const encodeHeader = (meta: SnapshotMeta, data: Uint8Array): readonly Buffer[] => {
  const header = protocol.disk.DiskSnapshotHeader.encode({
    ...meta,
    dataBytes: data.length,
    dataCrc: zlib.crc32(data),
  }).finish()
  return [
    fileHeader.encode('EWSN'),
    ...frames.encode({ sequence: 0, payload: Buffer.from(header) }),
  ]
}

/** Writes a snapshot durably and atomically. */
export const write = async (
  fileSystem: fileSystems.FileSystem,
  folder: string,
  meta: SnapshotMeta,
  data: Uint8Array,
): Promise<SnapshotLocation> => {
  const header = encodeHeader(meta, data)
  const body = Buffer.from(data.buffer, data.byteOffset, data.byteLength)
  const name = fileName(meta.lastIndex)
  await identities.writeAtomically(fileSystem, folder, name, [...header, body])
  const dataOffset = header.reduce((sum, part) => sum + part.length, 0)
  return { name, lastIndex: meta.lastIndex, dataOffset, dataBytes: data.length }
}

/** Reads a snapshot and verifies its checksums. */
export const read = async (
  fileSystem: fileSystems.FileSystem,
  folder: string,
  name: string,
): Promise<
  results.Result<
    { readonly stored: StoredSnapshot; readonly location: SnapshotLocation },
    errors.OpenError
  >
> => {
  const bytes = await fileSystem.read(path.join(folder, name))
  const checked = fileHeader.check(name, 'EWSN', bytes)
  if (checked.isErr()) return results.Err(checked.error)
  const found = frames.decodeAt(bytes, fileHeader.headerBytes)
  if (found === undefined)
    return results.Err(errors.damaged(name, 'the snapshot header is damaged'))
  const header = protocol.disk.DiskSnapshotHeader.decode(found.frame.payload)
  const data = bytes.subarray(found.end)
  if (data.length !== header.dataBytes || zlib.crc32(data) !== header.dataCrc) {
    return results.Err(errors.damaged(name, 'the snapshot data is damaged'))
  }
  const { lastIndex, lastTerm, membership } = header
  const meta = { lastIndex, lastTerm, membership: membership ?? { members: [] } }
  const location = { name, lastIndex, dataOffset: found.end, dataBytes: data.length }
  return results.Ok({ stored: { meta, data }, location })
}
