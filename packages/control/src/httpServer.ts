/** HTTP listener with graceful shutdown. */
import type * as http from 'node:http'
import * as results from 'ts-results-es'
import * as httpRouter from './httpRouter.js'

const STOP_TIMEOUT_MS = 5_000

export interface Listener {
  readonly start: () => Promise<results.Result<void, string>>
  /** Refuses new connections, closes idle ones and waits a limited time for requests in progress. */
  readonly stop: () => Promise<void>
}

const parseAddress = (address: string): { readonly host: string; readonly port: number } => {
  const separator = address.lastIndexOf(':')
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) }
}

const listen = (server: http.Server, address: string): Promise<results.Result<void, string>> =>
  new Promise((resolve) => {
    server.once('error', (error) => {
      resolve(results.Err(`cannot listen on ${address}: ${error.message}`))
    })
    server.listen(parseAddress(address), () => {
      resolve(results.Ok(undefined))
    })
  })

const close = (server: http.Server): Promise<void> =>
  new Promise((resolve) => {
    const timer = setTimeout(() => {
      server.closeAllConnections()
    }, STOP_TIMEOUT_MS)
    server.close(() => {
      clearTimeout(timer)
      resolve()
    })
    server.closeIdleConnections()
  })

export const createListener = (
  routes: readonly httpRouter.Route[],
  address: string,
  onInternalError: (error: unknown) => void,
): Listener => {
  const server = httpRouter.createHttpServer(routes, onInternalError)
  return { start: () => listen(server, address), stop: () => close(server) }
}
