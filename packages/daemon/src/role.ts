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
    case 'entry':
      return createFrom(await import('@ebonyweir/entry'), 'createEntry', resolved, logger)
    case 'agent':
      return createFrom(await import('@ebonyweir/agent'), 'createAgent', resolved, logger)
    case 'control':
      return createFrom(await import('@ebonyweir/control'), 'createControl', resolved, logger)
  }
}

type RoleFactory = (options: Readonly<Record<string, unknown>>) => Role

function createFrom(
  module: object,
  factoryName: string,
  resolved: settings.Settings,
  logger: telemetry.Logger,
): Role {
  const factory = (module as Readonly<Record<string, RoleFactory | undefined>>)[factoryName]
  if (factory === undefined) throw new Error(`the role's package does not export ${factoryName}`)
  return factory({ ...resolved, logger })
}
