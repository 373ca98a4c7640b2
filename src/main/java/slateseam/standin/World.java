package slateseam.standin;

/**
 * What stand-ins are run by.
 *
 * @param clock time and timers
 * @param net where connections come from
 * @param witness is told what they do with requests
 */
public record World(Clockwork clock, Net net, Witness witness) {}
