package slateseam.standin.kubernetes;

/** What a line of a script does. */
interface Command {
    void run(ApiServer server);
}
