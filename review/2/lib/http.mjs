/** HTTP calls of the stand-ins, one connection for each call. */
import * as buffer from 'node:buffer'
import * as http from 'node:http'
import * as timers from 'node:timers'

/** Resolves to the status and the body; status 0 if there is no complete answer within `timeoutMs`. */
export const call = ({ address, method, path, body, headers = {}, timeoutMs }) =>
  new Promise((resolve) => {
    const [host, port] = address.split(':')
    const text = body === undefined ? '' : typeof body === 'string' ? body : JSON.stringify(body)
    const request = http.request({
      host,
      port,
      method,
      path,
      agent: false,
      headers: {
        'content-type': 'application/json',
        'content-length': buffer.Buffer.byteLength(text),
        ...headers,
      },
    })
    const end = (answer) => {
      timers.clearTimeout(timer)
      resolve(answer)
    }
    const timer = timers.setTimeout(() => {
      request.destroy()
      end({ status: 0, body: undefined, headers: {} })
    }, timeoutMs)
    request.on('error', () => {
      end({ status: 0, body: undefined, headers: {} })
    })
    request.on('response', (response) => {
      const chunks = []
      response.on('data', (chunk) => chunks.push(chunk))
      response.on('error', () => {
        end({ status: 0, body: undefined, headers: {} })
      })
      response.on('end', () => {
        const received = buffer.Buffer.concat(chunks).toString('utf8')
        let parsed
        try {
          parsed = received === '' ? undefined : JSON.parse(received)
        } catch {
          parsed = undefined
        }
        end({ status: response.statusCode, body: parsed, headers: response.headers })
      })
    })
    request.end(text)
  })

export const sleep = (ms) => new Promise((resolve) => timers.setTimeout(resolve, ms))
