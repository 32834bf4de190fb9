import type * as net from 'node:net'

/** Splits "host:port". IPv6 hosts are enclosed in brackets. */
export const splitAddress = (address: string): { readonly host: string; readonly port: number } => {
  const colon = address.lastIndexOf(':')
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '')
  return { host, port: Number(address.slice(colon + 1)) }
}

/** Replaces the port of "host:port". */
export const withPort = (address: string, port: number): string =>
  `${address.slice(0, address.lastIndexOf(':'))}:${port}`

/** Listens on "host:port" and resolves with the bound address. Rejects if listening fails. */
export const listen = async (server: net.Server, address: string): Promise<string> => {
  const { host, port } = splitAddress(address)
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      server.removeListener('error', reject)
      const bound = server.address() as net.AddressInfo
      resolve(withPort(address, bound.port))
    })
  })
}
