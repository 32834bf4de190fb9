/** JSON over `node:http`, for the control servers of the stand-ins. */
import * as http from 'node:http'
import type * as net from 'node:net'

/** Reads a request body; undefined if it was truncated. */
export const readBody = async (request: http.IncomingMessage): Promise<Buffer | undefined> => {
  const chunks: Buffer[] = []
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer)
  } catch {
    return undefined
  }
  return request.complete ? Buffer.concat(chunks) : undefined
}

/** Sends a JSON response. */
export const sendJson = (response: http.ServerResponse, status: number, value: unknown): void => {
  const body = Buffer.from(JSON.stringify(value))
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.length,
  })
  response.end(body)
}

/** Listens on a loopback port, 0 for a free one. Resolves to the port. */
export const listen = (server: net.Server, port: number, host = '127.0.0.1'): Promise<number> =>
  new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      resolve((server.address() as net.AddressInfo).port)
    })
  })

/** Handler of a control route: takes the parsed body and returns the response value. */
export type ControlRoute = (body: unknown) => unknown

/** Starts a loopback control server; routes are keyed by "METHOD /path". */
export const serveControl = async (
  routes: Readonly<Record<string, ControlRoute>>,
  port: number,
): Promise<{ readonly port: number; readonly close: () => void }> => {
  const server = http.createServer((request, response) => {
    void readBody(request).then((body) => {
      const route = routes[`${request.method ?? ''} ${request.url ?? ''}`]
      if (route === undefined || body === undefined) {
        sendJson(response, 404, { error: 'no such route' })
        return
      }
      const parsed: unknown = body.length === 0 ? {} : JSON.parse(body.toString())
      sendJson(response, 200, route(parsed) ?? {})
    })
  })
  const bound = await listen(server, port)
  return {
    port: bound,
    close: () => {
      server.close()
      server.closeAllConnections()
    },
  }
}
