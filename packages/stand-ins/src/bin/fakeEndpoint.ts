/** Executable: runs one fake endpoint with a control server. */
import * as fakeEndpoint from '../fakeEndpoint.js'
import * as json from '../json.js'
import * as commandLine from './flags.js'

const flags = commandLine.parseFlags(process.argv.slice(2))
const endpoint = await fakeEndpoint.createFakeEndpoint({
  endpoint: flags.text('name'),
  service: flags.text('service'),
  failureDomain: flags.text('failureDomain'),
  agentAddress: flags.text('agentAddress', ''),
  slots: flags.number('slots', 8),
  connections: flags.number('connections', 64),
  port: flags.number('port', 0),
  serviceTimeMs: flags.number('serviceTimeMs', 5),
  jitterMs: flags.number('jitterMs', 0),
  cutEvery: flags.number('cutEvery', 0),
  slowEvery: flags.number('slowEvery', 0),
  slowMs: flags.number('slowMs', 2000),
  paddingBytes: flags.number('paddingBytes', 0),
  recorder: commandLine.createFlagRecorder(flags, flags.text('name')),
})
const control = await json.serveControl(
  {
    'GET /status': () => endpoint.status(),
    'PUT /behaviour': (body) => {
      endpoint.configure(body as fakeEndpoint.EndpointBehaviour)
    },
  },
  flags.number('controlPort', 0),
)
commandLine.stopOnSignal(() => {
  endpoint.close()
})
commandLine.printReady({ port: endpoint.port, controlPort: control.port })
