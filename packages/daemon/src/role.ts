/** What the daemon needs from a role, and how it loads the modules of one role alone. */
import type * as settings from '@ebonyweir/settings'
import type * as telemetry from '@ebonyweir/telemetry/logger'
import type * as results from 'ts-results-es'

/** Addresses that a role serves, each "host:port". */
export interface RoleAddresses {
  readonly grpcAddress?: string
  readonly httpAddress?: string
}

/** Why a role did not start. */
export interface RoleError {
  readonly reason: string
  readonly detail: string
}

/** A running role. */
export interface Role {
  /** Opens the servers; resolves with the addresses that were bound. */
  readonly start: () => Promise<results.Result<RoleAddresses, RoleError>>
  /** Finishes the work in progress within the role's own deadline and closes everything. */
  readonly stop: () => Promise<void>
  /** Resolves if the role cannot go on, for example because its disk failed. */
  readonly failed?: Promise<RoleError>
}

/** Loads the modules of the settings' role and creates it; other roles' modules are not loaded. */
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
