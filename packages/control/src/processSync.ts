/** gRPC calls of entries and agents: configuration, endpoint directory and service-level buckets. */
import type * as protocol from '@ebonyweir/protocol'
import type * as context from './context.js'
import type * as leaderTerm from './leaderTerm.js'

/** Agents sync every second. A new leader sends the directory only after all had time to do so. */
const DIRECTORY_SETTLE_MS = 2_500

export const redirectOf = (ctx: context.ControlContext): protocol.control.Redirect => {
  const { leader, role } = ctx.replica.leadership()
  return { leader: role === 'leader' ? '' : (leader?.address ?? '') }
}

const configDelta = (
  ctx: context.ControlContext,
  term: leaderTerm.LeaderTerm,
  knownRevision: number,
): protocol.control.ConfigDelta => {
  const { revision, full, rules, removed } = ctx.view.changesSince(knownRevision)
  return { epoch: term.term, revision, full, rules, removed }
}

const recordProcess = (term: leaderTerm.LeaderTerm, session: leaderTerm.ProcessSession): void => {
  term.processes.set(`${session.role}/${session.name}`, session)
}

export const syncEntry = (
  ctx: context.ControlContext,
  request: protocol.control.SyncEntryRequest,
): protocol.control.SyncEntryReply => {
  const term = ctx.term()
  if (!term || request.cell !== ctx.options.cell)
    return { redirect: redirectOf(ctx), config: undefined, directory: undefined }
  const nowMs = ctx.nowMs()
  recordProcess(term, {
    role: 'entry',
    name: request.entry,
    failureDomain: request.failureDomain,
    revision: request.knownRevision,
    httpAddress: request.httpAddress,
    incarnation: request.incarnation,
    lastSyncAtMs: nowMs,
  })
  term.burn.add(request.entry, request.incarnation, request.buckets)
  // An incomplete directory would make the entry drop endpoints that still exist.
  const isDirectoryComplete = nowMs - term.electedAtMs > DIRECTORY_SETTLE_MS
  const hasNoDirectory = request.knownDirectoryEpoch === 0
  const { knownDirectoryEpoch, knownDirectoryVersion } = request
  return {
    redirect: undefined,
    config: configDelta(ctx, term, request.knownRevision),
    directory:
      isDirectoryComplete || hasNoDirectory
        ? term.directory.deltaSince(knownDirectoryEpoch, knownDirectoryVersion)
        : undefined,
  }
}

export const syncAgent = (
  ctx: context.ControlContext,
  request: protocol.control.SyncAgentRequest,
): protocol.control.SyncAgentReply => {
  const term = ctx.term()
  if (!term || request.cell !== ctx.options.cell)
    return { redirect: redirectOf(ctx), config: undefined }
  const { agent } = request
  if (agent) {
    const nowMs = ctx.nowMs()
    term.directory.announce(agent, nowMs)
    recordProcess(term, {
      role: 'agent',
      name: agent.agent,
      failureDomain: agent.failureDomain,
      revision: request.knownRevision,
      httpAddress: '',
      incarnation: agent.incarnation,
      lastSyncAtMs: nowMs,
    })
  }
  return { redirect: undefined, config: configDelta(ctx, term, request.knownRevision) }
}
