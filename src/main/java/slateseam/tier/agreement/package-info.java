/**
 * A log that a few routers of the tier replicate by Raft: elections, log replication, membership changes, snapshots, and the durable
 * state. The package performs no I/O and reads no clock: its caller passes in messages, the time, and the completion of disk writes.
 *
 * <p>The package depends on no other package of the program. The commands in the log are defined by slateseam.tier.policy. The design
 * note is docs/design/policy.md.
 */
package slateseam.tier.agreement;
