/** Executable: runs one TCP relay, controlled over HTTP on loopback. */
import * as json from '../json.js'
import * as relays from '../relay.js'
import * as commandLine from './flags.js'

const flags = commandLine.parseFlags(process.argv.slice(2))
const relay = await relays.createRelay({
  target: flags.text('target'),
  port: flags.number('port', 0),
})
const control = await json.serveControl(
  {
    'GET /status': () => relay.status(),
    'PUT /mode': (body) => {
      relay.setMode(body as relays.RelayMode)
    },
  },
  flags.number('controlPort', 0),
)
commandLine.stopOnSignal(() => {
  relay.close()
})
commandLine.printReady({ port: relay.port, controlPort: control.port })
