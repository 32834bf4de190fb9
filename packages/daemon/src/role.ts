/** Interface between the daemon and a role; loads only the modules of the configured role. */
import type * as settings from '@ebonyweir/settings'
import type * as telemetry from '@ebonyweir/telemetry/logger'
import type * as results from 'ts-results-es'

/** Addresses that a role listens on, each "host:port". */
export interface RoleAddresses {
  readonly grpcAddress?: string
  readonly httpAddress?: string
}

/** Why a role failed to start or to continue. */
export interface RoleError {
  readonly reason: string
  readonly detail: string
}

/** A running role. */
export interface Role {
  /** Opens the servers; resolves with the bound addresses. */
  readonly start: () => Promise<results.Result<RoleAddresses, RoleError>>
  /** Finishes the work in progress within the role's own deadline and releases all resources. */
  readonly stop: () => Promise<void>
  /** Resolves if the role fails fatally while running, for example because of a disk failure. */
  readonly failed?: Promise<RoleError>
}

/** Creates the role in the settings; modules of other roles are not loaded. */
export async function loadRole(
  resolved: settings.Settings,
  logger: telemetry.Logger,
): Promise<Role> {
  switch (resolved.role) {
    case 'entry': {
      const entry = await import('@ebonyweir/entry')
      return entry.createEntry({ ...resolved, logger })
    }
    case 'agent': {
      const agent = await import('@ebonyweir/agent')
      return agent.createAgent({ ...resolved, logger })
    }
    case 'control': {
      const control = await import('@ebonyweir/control')
      return control.createControl({ ...resolved, logger })
    }
  }
}
