/** HTTP calls of the stand-ins. */
import { Buffer } from 'node:buffer'
import * as http from 'node:http'

/** Sends one call; status 0 means that no response came in time. */
export const call = ({ address, method, path, body, headers = {}, timeoutMs = 3_000 }) =>
  new Promise((resolve) => {
    const [host, port] = address.split(':')
    const isReady = body === undefined || typeof body === 'string' || Buffer.isBuffer(body)
    const text = isReady ? body : JSON.stringify(body)
    const request = http.request(
      { host, port, path, method, agent: false, timeout: timeoutMs, headers },
      (response) => {
        const chunks = []
        response.on('data', (chunk) => chunks.push(chunk))
        response.on('end', () => {
          const answer = chunks.join('')
          let parsed
          try {
            parsed = answer === '' ? undefined : JSON.parse(answer)
          } catch {
            parsed = answer
          }
          resolve({ status: response.statusCode, body: parsed })
        })
        response.on('error', () => resolve({ status: 0 }))
      },
    )
    request.on('timeout', () => request.destroy())
    request.on('error', () => resolve({ status: 0 }))
    request.end(text)
  })

/** Reads the JSON body of a request. */
export const readJson = async (request) => {
  let text = ''
  for await (const chunk of request) text += String(chunk)
  return text === '' ? {} : JSON.parse(text)
}
