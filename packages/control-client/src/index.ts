/** Client side of the control protocol that entry instances and agents share. */
export * as configView from './configView.js'
export * as controlClient from './controlClient.js'
export * as logger from './logger.js'
export * as servicePolicy from './servicePolicy.js'
