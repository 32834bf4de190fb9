import * as zlib from 'node:zlib'

/** Marks the start of a frame, so that intact frames after a damaged one can be found. */
const frameMagic = 0x45_57_46_31
const headerBytes = 20

/** Unit of writing; each frame is made durable by one sync. */
export interface Frame {
  /** Increases by one from frame to frame across all segments. */
  readonly sequence: number
  readonly payload: Buffer
}

const checksum = (sequenceBytes: Buffer, payload: Buffer): number =>
  zlib.crc32(payload, zlib.crc32(sequenceBytes))

/** Encodes a frame as header (magic, payload length, CRC, sequence) and payload. */
export const encode = (frame: Frame): readonly Buffer[] => {
  const header = Buffer.alloc(headerBytes)
  header.writeUInt32BE(frameMagic, 0)
  header.writeUInt32BE(frame.payload.length, 4)
  header.writeBigUInt64BE(BigInt(frame.sequence), 12)
  header.writeUInt32BE(checksum(header.subarray(12, headerBytes), frame.payload), 8)
  return [header, frame.payload]
}

/** Decodes the frame at `offset`; undefined if it is incomplete or damaged. */
export const decodeAt = (
  bytes: Buffer,
  offset: number,
): { readonly frame: Frame; readonly end: number } | undefined => {
  if (offset + headerBytes > bytes.length) return undefined
  if (bytes.readUInt32BE(offset) !== frameMagic) return undefined
  const start = offset + headerBytes
  const end = start + bytes.readUInt32BE(offset + 4)
  if (end > bytes.length) return undefined
  const payload = bytes.subarray(start, end)
  const crc = checksum(bytes.subarray(offset + 12, start), payload)
  if (crc !== bytes.readUInt32BE(offset + 8)) return undefined
  return { frame: { sequence: Number(bytes.readBigUInt64BE(offset + 12)), payload }, end }
}

/** Whether an intact frame with a sequence above `sequence` starts after `offset`. */
export const hasLaterFrame = (bytes: Buffer, offset: number, sequence: number): boolean => {
  const magic = Buffer.alloc(4)
  magic.writeUInt32BE(frameMagic)
  let candidate = bytes.indexOf(magic, offset + 1)
  while (candidate >= 0) {
    const found = decodeAt(bytes, candidate)
    if (found !== undefined && found.frame.sequence > sequence) return true
    candidate = bytes.indexOf(magic, candidate + 1)
  }
  return false
}
