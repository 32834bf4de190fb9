import type * as http from 'node:http'
import * as results from 'ts-results-es'

/** Why a request body was not read whole. */
export type BodyError = 'cut' | 'too-large' | 'overloaded'

/** Reads request bodies within a bound for one body and a bound for all of them together. */
export interface BodyReader {
  readonly read: (request: http.IncomingMessage) => Promise<results.Result<Buffer, BodyError>>
  /** Gives back the bytes of a body that is no longer held. */
  readonly release: (bytes: number) => void
  readonly heldBytes: () => number
}

/** Creates a reader; both bounds are in bytes. */
export const createBodyReader = (maxRequestBytes: number, maxHeldBytes: number): BodyReader => {
  let heldBytes = 0

  const read = async (
    request: http.IncomingMessage,
  ): Promise<results.Result<Buffer, BodyError>> => {
    if (Number(request.headers['content-length'] ?? 0) > maxRequestBytes) {
      return results.Err('too-large')
    }
    const chunks: Buffer[] = []
    let length = 0
    const fail = (error: BodyError): results.Result<Buffer, BodyError> => {
      heldBytes -= length
      return results.Err(error)
    }
    try {
      for await (const chunk of request as AsyncIterable<Buffer>) {
        length += chunk.length
        heldBytes += chunk.length
        if (length > maxRequestBytes) return fail('too-large')
        if (heldBytes > maxHeldBytes) return fail('overloaded')
        chunks.push(chunk)
      }
    } catch {
      return fail('cut')
    }
    if (!request.complete) return fail('cut')
    return results.Ok(chunks.length === 1 ? (chunks[0] ?? Buffer.alloc(0)) : Buffer.concat(chunks))
  }

  return {
    read,
    release: (bytes) => {
      heldBytes -= bytes
    },
    heldBytes: () => heldBytes,
  }
}
