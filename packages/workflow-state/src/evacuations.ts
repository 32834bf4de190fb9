/** Evacuated failure domains. An order that a later one has overtaken has no effect, however late it arrives. */
import type * as protocol from '@ebonyweir/protocol'
import type * as types from './types.js'
import type * as workflowState from './workflowState.js'

/** Number of committed changes of a failure domain. */
export const revisionOf = (
  revisions: types.WorkflowView['evacuationRevisions'],
  failureDomain: string,
): number => revisions.get(failureDomain) ?? 0

/** Applies an order whose ticket names the current revision; an order that changes nothing is in force as well. */
export const setEvacuation = (
  context: workflowState.StateContext,
  { failureDomain, evacuated, ticket }: protocol.workflow.SetEvacuation,
): types.Outcome => {
  if (context.evacuated.has(failureDomain) === evacuated) {
    return { kind: 'evacuation', isInForce: true }
  }
  const revision = revisionOf(context.evacuationRevisions, failureDomain)
  if (ticket !== undefined && ticket.revision !== revision) {
    return { kind: 'evacuation', isInForce: false }
  }
  if (evacuated) context.evacuated.add(failureDomain)
  else context.evacuated.delete(failureDomain)
  context.evacuationRevisions.set(failureDomain, revision + 1)
  return { kind: 'evacuation', isInForce: true }
}
