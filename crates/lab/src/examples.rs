//! The declarations of the example deployments, compiled in, so that a demo and a benchmark run from any directory.

use decl::Declaration;
use decl::Fault;

macro_rules! files {
    ($folder:literal: $($name:literal)+) => {
        &[$((
            concat!($name, ".toml"),
            include_str!(concat!("../../../examples/", $folder, "/", $name, ".toml")),
        )),+]
    };
}

const BRUNNER_VAUCHER: &[(&str, &str)] = files! {
    "brunner-vaucher":
    "advisers"
    "agents-romand"
    "agents-ticino"
    "archive"
    "beneficiaries"
    "branch-counter"
    "ceremony-planner"
    "collections"
    "contracts"
    "family-documents"
    "florists"
    "instalments"
    "invoices"
    "notifications"
    "payouts"
    "plan-audit"
    "plan-summary"
    "portal-export"
    "portal-home"
    "portal-mobile"
    "portal-search"
    "premiums"
    "quotes"
    "relatives"
    "renewals"
    "support-chat"
    "wishes"
};

const SKIASIS: &[(&str, &str)] = files! {
    "skiasis":
    "board-display"
    "carriers"
    "complaints"
    "deliveries"
    "matching"
    "materials"
    "metal-offcuts"
    "offcuts"
    "order-entry"
    "order-report"
    "order-status"
    "orders"
    "partners"
    "pickups"
    "pilot-workshops"
    "planning"
    "pricing"
    "registry"
    "returns"
    "rush-desk"
    "stock-count"
    "swatches"
    "textile-offcuts"
    "valuation"
    "wood-offcuts"
    "workshop-board"
    "workshops"
};

/// Returns file name and text of every declaration of an example deployment; empty if the name is unknown.
pub fn list_declarations(name: &str) -> &'static [(&'static str, &'static str)] {
    match name {
        "brunner-vaucher" => BRUNNER_VAUCHER,
        "skiasis" => SKIASIS,
        _ => &[],
    }
}

/// Parses every declaration of an example deployment.
///
/// # Errors
///
/// Returns the faults of the first file that is not valid.
pub fn parse_declarations(name: &str) -> Result<Vec<Declaration>, Vec<Fault>> {
    let files = list_declarations(name).iter();
    files
        .map(|(file, text)| decl::parse_declaration(file, text))
        .collect()
}
