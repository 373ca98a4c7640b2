/**
 * The simulator's wire on standard input and output: many instances of the decision module in one process.
 *
 * <p>It may use the decision module and the parser of settings. It is used by the command line only; a router never
 * loads it.
 */
package slateseam.wire;
