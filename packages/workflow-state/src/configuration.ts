/** Validation of the queue configuration, and look-up of queues. */
import type * as protocol from '@ebonyweir/protocol'
import * as results from 'ts-results-es'

type Configuration = protocol.workflow.QueueConfiguration

/** Validates a configuration; the error describes the first problem. */
export const checkConfiguration = (
  configuration: Configuration,
): results.Result<undefined, string> => {
  const services = new Set(configuration.pools.map(({ service }) => service))
  const routes = new Set<string>()
  for (const queue of configuration.queues) {
    const route = `${queue.host}${queue.pathPrefix}`
    if (routes.has(route)) return results.Err(`queue ${queue.name}: another queue has ${route}`)
    routes.add(route)
    if (!services.has(queue.service)) {
      return results.Err(`queue ${queue.name}: unknown service ${queue.service}`)
    }
    if (queue.timeoutMs <= 0) return results.Err(`queue ${queue.name}: the timeout is not positive`)
  }
  return results.Ok(undefined)
}

/** Queue at `host` with the longest prefix of `path`; the case and the port of the host are ignored. */
export const findQueue = (
  configuration: Configuration,
  host: string,
  path: string,
): protocol.workflow.Queue | undefined => {
  const hostName = host.replace(/:\d+$/u, '').toLowerCase()
  let found: protocol.workflow.Queue | undefined
  for (const queue of configuration.queues) {
    if (queue.host.toLowerCase() !== hostName || !path.startsWith(queue.pathPrefix)) continue
    if (found === undefined || queue.pathPrefix.length > found.pathPrefix.length) found = queue
  }
  return found
}
