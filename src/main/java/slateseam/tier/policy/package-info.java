/**
 * The policy shared by all routers of the tier. Its versions are proposed, and committed or aborted for all routers
 * at once; they are distributed to all routers, which serve by them under leases. The package does no I/O and reads
 * no clock.
 *
 * <p>Versions are decided in the replicated log of slateseam.tier.agreement. The design note is
 * docs/design/policy.md.
 */
package slateseam.tier.policy;
