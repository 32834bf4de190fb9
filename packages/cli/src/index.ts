/** The command-line tool `ebonyweir`. */
export * as burnPage from './burnPage.js'
export * as burnSources from './burnSources.js'
export * as burnText from './burnText.js'
export * as configuration from './configuration.js'
export * as exitCodes from './exitCodes.js'
export * as operatorClient from './operatorClient.js'
export { checkFile } from './commands/check.js'
export { createCli, runCli } from './cli.js'
