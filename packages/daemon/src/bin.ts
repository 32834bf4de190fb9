#!/usr/bin/env node
/** Executable `ebonyweird`. */
import * as heap from './heap.js'

heap.disableYoungGenerationGrowth()
const daemon = await import('./daemon.js')

await daemon.runDaemon({
  args: process.argv.slice(2),
  stdout: process.stdout,
  stderr: process.stderr,
  exit: (code) => {
    process.exit(code)
  },
  onSignal: (signal, handler) => process.on(signal, handler),
})
