package slateseam.simulate;
import slateseam.simulate.scenario.*;
import slateseam.standin.useragent.*;
class Try2 {
    public static void main(String[] a) throws Exception {
        for (long seed = 1; seed <= 6; seed++) {
            Day day = Day.draw(Scenarios.usual(), seed, FaultChoice.NONE);
            Popularity p = new Popularity(day.popularity());
            int entries = day.servers().stream().mapToInt(s -> s.figures().keeping().entries()).sum();
            double sum = 0; for (int i = 0; i < entries; i++) sum += p.probability(i);
            System.out.println(seed + " entries " + entries + " pooled " + sum + " " + day.popularity() + " origin " + day.origin().figures().places() / day.origin().figures().meanSeconds() + " habits " + day.habits().patience());
            Play play = new Play(day, null);
            play.play();
            play.show();
        }
    }
}
