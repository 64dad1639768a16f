//! Prints the cost and speed of membership by the number of VMs.

fn main() -> std::io::Result<()> {
    let mut options = lab::SlopeOptions::default();
    let mut args = std::env::args().skip(1);
    if let Some(sizes) = args.next() {
        options.sizes = sizes.split(',').filter_map(|n| n.parse().ok()).collect();
    }
    if let Some(loss) = args.next().and_then(|loss| loss.parse().ok()) {
        options.loss = loss;
    }
    if let Some(seed) = args.next().and_then(|seed| seed.parse().ok()) {
        options.seed = seed;
    }
    lab::measure_slopes(&options, &mut std::io::stdout())?;
    Ok(())
}
