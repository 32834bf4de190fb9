/** Endpoint process of the request benchmark: answers immediately with a fixed body. */
import * as http from 'node:http'
import type * as net from 'node:net'

const ANNOUNCE_INTERVAL_MS = 1_000
const RESPONSE_BODY = Buffer.alloc(1_024, 'a')

const [agentAddress = ''] = process.argv.slice(2)

const server = http.createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
  request.resume()
  request.on('end', () => {
    response.writeHead(200, { 'content-length': RESPONSE_BODY.length })
    response.end(RESPONSE_BODY)
  })
})

const announce = (port: number): void => {
  const [host, agentPort] = agentAddress.split(':')
  const body = JSON.stringify({
    endpoint: 'bench-endpoint',
    service: 'bench',
    address: `127.0.0.1:${port}`,
    slots: 64,
    connections: 64,
    leaving: false,
  })
  const request = http.request({ host, port: agentPort, path: '/v1/endpoints', method: 'POST' })
  request.on('response', (response) => response.resume())
  request.on('error', () => undefined)
  request.end(body)
}

server.listen(0, '127.0.0.1', () => {
  const { port } = server.address() as net.AddressInfo
  announce(port)
  setInterval(announce, ANNOUNCE_INTERVAL_MS, port)
  process.stdout.write(`${JSON.stringify({ ready: true, port })}\n`)
})
