/**
 * Roles that VMs hold by lease.
 */

export const MEMBER_ROLES = {
  /** Sends placement orders to engines. */
  placement: 'placement',
  /** Writes durably on behalf of one failure domain. */
  writer: (domain: string): string => `writer/${domain}`
} as const

/** VMs that poll the lease of a role. */
export const ROLE_CANDIDATES = 3
