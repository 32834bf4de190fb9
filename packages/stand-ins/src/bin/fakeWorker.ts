/** Executable: hosts one or more fake workers in one process, with a control server. */
import type * as protocol from '@ebonyweir/protocol'
import * as undici from 'undici'
import * as fakeEndpoint from '../fakeEndpoint.js'
import * as fakeWorker from '../fakeWorker.js'
import * as json from '../json.js'
import * as commandLine from './flags.js'

const flags = commandLine.parseFlags(process.argv.slice(2))
const recorder = commandLine.createFlagRecorder(flags, flags.text('name'))
const workerCount = flags.number('count', 1)
const failureDomains = flags.list('failureDomain')
const agentAddress = flags.text('agentAddress', '')
const dispatcher = new undici.Agent({ connections: workerCount + 8 })
const endpoints = new Map<string, Promise<fakeEndpoint.FakeEndpoint>>()

const openEndpoint = (directive: protocol.workerApi.StartTaskJson, failureDomain: string) => {
  if (agentAddress === '') return
  const endpoint = `${directive.task}@${directive.attempt}`
  endpoints.set(
    directive.task,
    fakeEndpoint.createFakeEndpoint({
      endpoint,
      service: directive.service,
      failureDomain,
      agentAddress,
      slots: flags.number('slots', 8),
      connections: flags.number('connections', 64),
      serviceTimeMs: flags.number('serviceTimeMs', 5),
      recorder,
    }),
  )
}

const closeEndpoint = (directive: protocol.workerApi.StartTaskJson) => {
  const endpoint = endpoints.get(directive.task)
  endpoints.delete(directive.task)
  void endpoint?.then((opened) => {
    opened.close()
  })
}

const createWorker = (index: number): fakeWorker.FakeWorker => {
  const failureDomain = failureDomains[index % failureDomains.length] ?? ''
  const name = flags.text('name')
  return fakeWorker.createFakeWorker({
    cell: flags.text('cell'),
    worker: workerCount === 1 ? name : `${name}-${index}`,
    failureDomain,
    rack: flags.text('rack', `${failureDomain}-${Math.floor(index / 3)}`),
    controlAddresses: flags.list('control'),
    capacity: {
      cpuMillis: flags.number('cpuMillis', 16_000),
      memoryMb: flags.number('memoryMb', 60_000),
      accelerators: flags.number('accelerators', 0),
    },
    incarnation: flags.has('incarnation') ? flags.number('incarnation', 0) : undefined,
    recorder,
    dispatcher,
    tickMs: flags.number('tickMs', 50),
    syncTimeoutMs: flags.number('syncTimeoutMs', 1500),
    runMs: flags.number('runMs', 2000),
    failsEverything: flags.has('failsEverything'),
    sizeFactor: flags.number('sizeFactor', 1),
    usageNoise: flags.number('usageNoise', 0),
    usageLagMs: flags.number('usageLagMs', 0),
    guardsOff: flags.list('guardsOff') as readonly fakeWorker.WorkerGuard[],
    onServiceStart: (directive) => {
      openEndpoint(directive, failureDomain)
    },
    onServiceStop: closeEndpoint,
  })
}

const workers = Array.from({ length: workerCount }, (_, index) => createWorker(index))
const control = await json.serveControl(
  {
    'GET /status': () => workers.map((worker) => worker.status()),
    'PUT /endpoints': (body) => {
      for (const endpoint of endpoints.values()) {
        void endpoint.then((opened) => {
          opened.configure(body as fakeEndpoint.EndpointBehaviour)
        })
      }
    },
  },
  flags.number('controlPort', 0),
)
commandLine.stopOnSignal(() => {
  for (const worker of workers) worker.close()
})
commandLine.printReady({ controlPort: control.port })
