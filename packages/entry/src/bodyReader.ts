import type * as http from 'node:http'
import * as results from 'ts-results-es'

/** Why a request body could not be read completely. */
export type BodyError = 'cut' | 'too-large' | 'overloaded'

/** Reads request bodies, limiting the size of each body and of all buffered bodies together. */
export interface BodyReader {
  readonly read: (request: http.IncomingMessage) => Promise<results.Result<Buffer, BodyError>>
  /** Releases the bytes of a body that is no longer needed. */
  readonly release: (bytes: number) => void
  readonly bufferedBytes: () => number
}

/** Creates a body reader. Both limits are in bytes. */
export const createBodyReader = (maxRequestBytes: number, maxBufferedBytes: number): BodyReader => {
  let bufferedBytes = 0

  const read = async (
    request: http.IncomingMessage,
  ): Promise<results.Result<Buffer, BodyError>> => {
    if (Number(request.headers['content-length'] ?? 0) > maxRequestBytes) {
      return results.Err('too-large')
    }
    const chunks: Buffer[] = []
    let length = 0
    const fail = (error: BodyError): results.Result<Buffer, BodyError> => {
      bufferedBytes -= length
      return results.Err(error)
    }
    try {
      for await (const chunk of request as AsyncIterable<Buffer>) {
        length += chunk.length
        bufferedBytes += chunk.length
        if (length > maxRequestBytes) return fail('too-large')
        if (bufferedBytes > maxBufferedBytes) return fail('overloaded')
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
      bufferedBytes -= bytes
    },
    bufferedBytes: () => bufferedBytes,
  }
}
