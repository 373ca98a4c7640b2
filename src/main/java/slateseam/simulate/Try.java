package slateseam.simulate;
import slateseam.simulate.scenario.*;
class Try {
    public static void main(String[] a) throws Exception {
        java.io.PrintStream out = a.length > 2 ? new java.io.PrintStream(a[2]) : null;
        for (long seed = Long.parseLong(a[0]); seed <= Long.parseLong(a[1]); seed++) {
            long t = System.nanoTime();
            Day day = Day.draw(Scenarios.usual(), seed, a.length > 3 ? FaultChoice.parse(a[3]) : FaultChoice.AS_WRITTEN);
            Result r = new Play(day, out == null ? null : out::println).play();
            System.out.println("seed " + seed + " hash " + r.hashText() + " happenings " + r.happenings() + " service " + r.service().whole().service()
                + " worst " + r.service().worstTenSeconds() + " " + r.service().byClass().entrySet().stream().map(e -> e.getKey() + "=" + e.getValue().service() + "/" + e.getValue().requests()).toList()
                + " " + r.service().endings() + " open " + r.service().open() + " logged " + r.logged() + " supplies " + r.supplies() + " faults " + day.timeline().faults() + " counts " + r.counts()
                + " ms " + (System.nanoTime() - t) / 1000000);
            if (a.length > 4) System.out.println(r.tallies());
            r.breaches().stream().limit(5).forEach(b -> System.out.println("   " + b.rule() + " " + (b.nanos() - Play.BEGIN) / 1e9 + " " + b.router() + " " + b.request() + " " + b.text()));
        }
        if (out != null) out.close();
    }
}
