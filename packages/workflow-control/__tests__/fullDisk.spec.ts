import * as timers from 'node:timers/promises'
import * as storage from '@ebonyweir/storage'
import * as telemetry from '@ebonyweir/telemetry/logger'
import * as workflowControl from '@ebonyweir/workflow-control'
import * as vitest from 'vitest'

const { describe, expect, test } = vitest

const DATA_FOLDER = '/data'

const createControl = (fileSystem: storage.FileSystem) =>
  workflowControl.createWorkflowControl({
    cell: 'test',
    name: 'control-1',
    failureDomain: 'rennes',
    grpcAddress: '127.0.0.1:0',
    dataFolder: DATA_FOLDER,
    seeds: () => [],
    mayForm: false,
    toleratedLosses: 1,
    timing: workflowControl.resolveTiming({ maxLeaseMs: 6_000 }).unwrap(),
    statusRetentionMs: 60_000,
    fileSystem,
    logger: telemetry.createLogger({ level: 'error' }),
  })

describe('a replica on a full disk', () => {
  // Guards against a replica that restarts in a loop while its disk is full.
  test('starts once the disk has space again', async () => {
    const disk = new storage.FaultFileSystem()
    disk.faults.freeBytes = 0
    const control = createControl(disk)
    let outcome = 'waiting'
    const started = control.start().then((result) => {
      outcome = result.isOk() ? 'started' : result.error.detail
    })
    void control.failed.then(({ detail }) => {
      outcome = detail
    })
    await timers.setTimeout(600)
    expect(outcome).toBe('waiting')
    disk.faults.freeBytes = Number.POSITIVE_INFINITY
    await started
    expect(outcome).toBe('started')
    expect((await disk.list(DATA_FOLDER)).some((name) => name.endsWith('.probe'))).toBe(false)
    await control.stop()
  })

  // Guards against a wait that prevents the process from stopping.
  test('stops waiting when it is stopped', async () => {
    const disk = new storage.FaultFileSystem()
    disk.faults.freeBytes = 0
    const control = createControl(disk)
    const started = control.start()
    await timers.setTimeout(50)
    await control.stop()
    disk.faults.freeBytes = Number.POSITIVE_INFINITY
    expect(
      await Promise.race([
        started.then((result) => (result.isErr() ? 'ended' : 'started')),
        timers.setTimeout(5_000, 'waits'),
      ]),
    ).toBe('ended')
  })
})
