/**
 * Roles that VMs hold by lease.
 */

/** Names of roles. */
export const MEMBER_ROLES = {
  /** Orders to engines. */
  placement: 'placement',
  /**
   * Durable writes on behalf of one failure domain.
   * @param domain - the failure domain
   */
  writer: (domain: string): string => `writer/${domain}`
} as const

/** How many VMs poll the lease of a role. */
export const ROLE_CANDIDATES = 3
