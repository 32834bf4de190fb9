/** Answer of a fake endpoint, with digests by which the caller checks that it is complete and its own. */
import * as crypto from 'node:crypto'

/** Answer body of a fake endpoint. */
export interface EchoAnswer {
  readonly token: string
  /** SHA-256 of the request body as the endpoint received it, in hexadecimal. */
  readonly bodyDigest: string
  readonly endpoint: string
  readonly execution: number
  readonly padding: string
  readonly paddingDigest: string
}

/** SHA-256 in hexadecimal. */
export const digest = (data: string | Buffer): string =>
  crypto.createHash('sha256').update(data).digest('hex')

/** Builds the answer to one request. */
export const createEcho = (
  token: string,
  body: Buffer,
  endpoint: string,
  execution: number,
  paddingBytes: number,
): EchoAnswer => {
  const padding = digest(token)
    .repeat(Math.ceil(paddingBytes / 64))
    .slice(0, paddingBytes)
  return {
    token,
    bodyDigest: digest(body),
    endpoint,
    execution,
    padding,
    paddingDigest: digest(padding),
  }
}

/** Result of checking an answer body. */
export interface EchoCheck {
  readonly whole: boolean
  readonly matched: boolean
}

/** Checks an answer body against the request that it answers. */
export const checkEcho = (text: string, token: string, body: Buffer): EchoCheck => {
  try {
    const answer = JSON.parse(text) as EchoAnswer
    return {
      whole: digest(answer.padding) === answer.paddingDigest,
      matched: answer.token === token && answer.bodyDigest === digest(body),
    }
  } catch {
    return { whole: false, matched: false }
  }
}
