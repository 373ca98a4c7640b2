package slateseam.simulate.network;

import slateseam.standin.Party;
import slateseam.standin.Wire;

/** A party's side of a connection. */
final class PartyWire implements Wire, Owner {
    private final VirtualNetwork net;
    private End end;
    private Party party;
    private boolean paused;
    private boolean endTold;
    private boolean over;

    PartyWire(VirtualNetwork net) {
        this.net = net;
    }

    void join(End side, Party whose) {
        end = side;
        party = whose;
    }

    @Override
    public long number() {
        return end.number();
    }

    @Override
    public void write(byte[] bytes) {
        if (bytes.length > 0) {
            end.write(bytes);
        }
    }

    @Override
    public long unsent() {
        return end.unsent();
    }

    @Override
    public void end() {
        end.end();
    }

    @Override
    public void reset() {
        over = true;
        end.reset();
    }

    @Override
    public void pause(boolean stop) {
        if (paused != stop) {
            paused = stop;
            if (!stop) {
                net.at(net.now(), this::inputChanged);
            }
        }
    }

    @Override
    public void up() {
        party.opened(this);
    }

    @Override
    public void failed() {
        over = true;
        party.broken(this);
    }

    @Override
    public void inputChanged() {
        for (byte[] bytes; !paused && !over && (bytes = end.take()) != null; ) {
            party.received(this, bytes);
        }
        if (!paused && !over && !endTold && end.isAtEnd()) {
            endTold = true;
            party.ended(this);
            end.settle();
        }
    }

    @Override
    public void roomCame() {
        // A party may write at any time.
    }

    @Override
    public void broke() {
        if (!over) {
            over = true;
            party.broken(this);
        }
    }
}
